package cli

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"acaciavane/core"
	"acaciavane/io/configservice"
	"acaciavane/io/operator"
	"acaciavane/io/peer"
	"acaciavane/io/upstream"
	"acaciavane/platform"
)

const dialTimeout = core.Second

// instance is one entry instance: the decisions and their adapters, wired up.
type instance struct {
	settings     operator.Settings
	clock        core.Clock
	log          logr.Logger
	self         core.PeerInfo
	startedAt    core.Millis
	counters     *core.Counters
	store        *core.Store
	fleet        *core.Fleet
	facts        *core.FactLog
	quarantine   *core.Quarantine
	budget       *core.Budget
	pause        *core.PauseGuard
	lag          *core.LagMeter
	prober       *core.Prober
	peers        *core.Peers
	publications *core.Publications
	engine       *core.Engine
	gates        *core.GateSet
	orders       *core.Orders
	peerClient   *peer.Client
	// routes is set for an instance that passes requests on along routes.
	routes   *routes
	leaving  atomic.Bool
	wasReady atomic.Bool
	// unreadiness is the last reason for not being ready that was logged.
	unreadiness atomic.Pointer[string]
}

func newInstance(settings operator.Settings, log logr.Logger) *instance {
	clock := core.NewClock()
	i := &instance{
		settings:  settings,
		clock:     clock,
		log:       log,
		startedAt: clock.Now(),
		counters:  core.NewCounters(),
		self: core.PeerInfo{
			Name:        settings.Instance,
			Zone:        settings.Zone,
			Address:     settings.PeerAddress,
			Incarnation: clock.NewIncarnation(),
			Capacity:    settings.Capacity,
		},
	}
	i.facts = core.NewFactLog(clock)
	i.fleet = core.NewFleet(clock, settings.Zone, settings.Policy, i.tellFact)
	i.fleet.OnChange(i.logUpstream)
	i.quarantine = core.NewQuarantine(clock, i.tellFact)
	i.budget = core.NewBudget(core.ExtraLoadShare, core.ExtraLoadBurst)
	i.pause = core.NewPauseGuard(clock, i.counters, i.renewView)
	i.lag = core.NewLagMeter(clock)
	i.pause.OnTick(i.lag.Observe)
	i.wirePublished()
	i.wireRequests()
	if i.routes != nil {
		i.routes.wire()
	}
	return i
}

// newDialer returns a dialer that connects from the given IP number, if any.
func newDialer(source string) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return dialer
}

// sources are where an instance learns what is published, and how often.
type sources struct {
	platform         core.Platform
	decoder          core.Decoder
	probes           core.ProbeClient
	applyList        func(core.InstanceList)
	cadence          core.ReadCadence
	readersPerZone   int
	exchangeInterval core.Millis
	// perInstance times the number of instances is the least exchange interval.
	perInstance core.Millis
	// delegate lets instances delegate requests to others.
	delegate bool
	// join is how long a starting instance waits to hear of them, and joinGossip how long
	// after it has heard the first.
	join       core.Millis
	joinGossip core.Millis
}

// chooseSources returns the sources for the instance's interface.
func (i *instance) chooseSources(dialer *net.Dialer, upstreams *upstream.Client) sources {
	if i.settings.Interface == operator.InterfaceRoutes {
		i.routes = newRoutes(i, upstreams)
		join, joinGossip := joinTime(i.settings)
		return sources{
			platform:         platform.NewFeed(i.settings.PlatformAddress, dialer),
			decoder:          platform.NewDecoder(),
			probes:           i.routes.upstreams,
			applyList:        i.routes.applyList,
			cadence:          routesCadence(i.settings),
			exchangeInterval: routesExchangeInterval,
			perInstance:      routesExchangePerInstance,
			delegate:         true,
			join:             join,
			joinGossip:       joinGossip,
		}
	}
	return sources{
		platform:         configservice.New(i.settings.PlatformAddress, dialer),
		decoder:          configservice.NewDecoder(),
		probes:           upstreams,
		applyList:        i.fleet.ApplyList,
		cadence:          core.DefaultCadence(),
		readersPerZone:   core.ReadersPerZone,
		exchangeInterval: core.ExchangeIntervalMillis,
	}
}

// wirePublished connects what operators publish and what peers say.
func (i *instance) wirePublished() {
	dialer := newDialer(i.settings.SourceAddress)
	upstreams := upstream.New(i.clock, dialer, i.counters)
	sources := i.chooseSources(dialer, upstreams)
	i.prober = core.NewProber(i.clock, i.fleet, sources.probes)
	i.store = core.NewStore(i.clock, sources.decoder, i.counters)
	i.store.OnConfiguration(i.applyConfiguration)
	i.store.OnInstanceList(sources.applyList)
	i.peerClient = peer.NewClient(i.clock, i.counters, dialer)
	i.peers = core.NewPeers(core.PeersParts{
		Self:     i.self,
		Seeds:    i.settings.Peers,
		Clock:    i.clock,
		Client:   i.peerClient,
		Store:    i.store,
		Facts:    i.facts,
		Counters: i.counters,
		Apply:    i.applyFact,
		Log:      i.log,

		ReadersPerZone:   sources.readersPerZone,
		ExchangeInterval: sources.exchangeInterval,

		ExchangePerInstance: sources.perInstance,
		Delegate:            sources.delegate,
		Join:                sources.join,
		JoinGossip:          sources.joinGossip,
	})
	i.publications = core.NewPublications(core.PublicationsParts{
		Clock:    i.clock,
		Platform: sources.platform,
		Store:    i.store,
		Peers:    i.peers,
		Counters: i.counters,
		Cadence:  sources.cadence,
		Log:      i.log,
	})
	i.gates = core.NewGateSet(i.clock, core.Priorities)
	i.engine = core.NewEngine(core.EngineParts{
		Instance:    i.self.Name,
		Clock:       i.clock,
		Store:       i.store,
		Fleet:       i.fleet,
		Client:      upstreams,
		Quarantine:  i.quarantine,
		Budget:      i.budget,
		Pause:       i.pause,
		Counters:    i.counters,
		Gates:       i.gates,
		Policy:      i.settings.Policy,
		NewID:       uuid.NewString,
		NotifyPeers: i.peers.Tell,
	})
}

func (i *instance) wireRequests() {
	home := core.Home{Instance: i.self.Name, Incarnation: i.self.Incarnation}
	i.orders = core.NewOrders(i.engine, i.peerClient, home, i.self.Address, i.tellFact)
}

// logUpstream writes down that an upstream went in or out of use.
func (i *instance) logUpstream(change core.UpstreamChange) {
	event := "upstream out of use"
	if change.InUse {
		event = "upstream in use"
	}
	i.log.Info(event, "upstream", change.Name, "service", change.Service, "zone", change.Zone,
		"incarnation", change.Incarnation, "cause", change.Cause, "heardMillisAgo", int64(i.clock.Since(change.HeardAt)))
}

// tellFact records what this instance saw, so that its peers are told.
func (i *instance) tellFact(fact core.Fact) {
	if i.facts.Merge(fact) {
		i.log.Info("fact seen", "kind", fact.Kind, "subject", fact.Subject, "stamp", fact.Stamp, "verdict", fact.Verdict)
	}
}

// applyFact takes in what a peer saw.
func (i *instance) applyFact(fact core.Fact) {
	i.log.Info("fact heard", "kind", fact.Kind, "subject", fact.Subject, "stamp", fact.Stamp, "verdict", fact.Verdict)
	switch fact.Kind {
	case core.FactUpstreamLeaving:
		i.fleet.MarkLeaving(fact.Subject, fact.Stamp, "peer")
	case core.FactVerdict:
		i.quarantine.Apply(fact)
	case core.FactTicketsMoved:
		i.orders.Moved(fact)
	}
}

func (i *instance) applyConfiguration(configuration core.Configuration) {
	if i.routes != nil {
		i.routes.applyConfiguration(configuration)
	} else {
		i.fleet.Apply(configuration)
		i.prober.Wake()
	}
	i.log.Info("configuration in force", "version", configuration.Version, "digest", configuration.Digest)
}

// renewView asks the peers, the platform and the upstreams for what happened
// while the process was suspended.
func (i *instance) renewView(ctx context.Context) {
	i.log.Info("the process was suspended; renewing the view")
	var group errgroup.Group
	group.Go(func() error { return i.publications.Refresh(ctx) })
	group.Go(func() error { i.peers.Tell(ctx); return nil })
	if i.routes == nil {
		group.Go(func() error { i.prober.ProbeAll(ctx); return nil })
	}
	if err := group.Wait(); err != nil {
		i.log.Error(err, "the view could not be renewed")
	}
}

// run keeps the tasks of the instance until ctx ends.
func (i *instance) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return i.pause.Run(ctx) })
	group.Go(func() error { return i.peers.Run(ctx) })
	group.Go(func() error { return i.publications.Run(ctx) })
	if i.routes == nil {
		group.Go(func() error { return i.prober.Run(ctx) })
	} else {
		group.Go(func() error { return i.prober.RunSuspects(ctx) })
		group.Go(func() error { return i.routes.run(ctx) })
	}
	return group.Wait()
}

// current reports whether the instance has a configuration in force and has
// asked the platform, its peers and its upstreams at least once.
func (i *instance) current() bool {
	if i.wasReady.Load() {
		return true
	}
	if _, ok := i.store.Current(); !ok {
		return false
	}
	if !i.publications.AllTried() || !i.peers.AllTried() {
		return false
	}
	if i.routes == nil && !i.prober.AllTried() {
		return false
	}
	i.wasReady.Store(true)
	return true
}

// Ready implements caller.Service. An instance that is leaving still serves
// those who come.
func (i *instance) Ready() bool {
	return i.current()
}

// readyForMore is what the balancer is told.
func (i *instance) readyForMore() bool {
	reason := i.unready()
	if before := i.unreadiness.Swap(&reason); before == nil || *before != reason {
		i.log.Info("readiness changed", "ready", reason == "", "reason", reason, "lagMillis", i.lag.Lag())
	}
	return reason == ""
}

// unready returns why no more callers should come here, or nothing.
func (i *instance) unready() string {
	switch {
	case i.leaving.Load():
		return "leaving"
	case !i.current():
		return "starting"
	case i.routes == nil:
		return ""
	case i.lag.Overloaded():
		return "behind with its work"
	case !i.routes.router.Serviceable():
		return "too few shards can be reached"
	}
	return ""
}

// Query implements caller.Service.
func (i *instance) Query(ctx context.Context, request core.Request) core.Answer {
	return i.engine.Query(ctx, request)
}

// Order implements caller.Service.
func (i *instance) Order(ctx context.Context, ticket core.Ticket, request core.Request) core.Answer {
	return i.orders.Run(ctx, ticket, request)
}

// MintTicket implements caller.Service.
func (i *instance) MintTicket(ctx context.Context) core.Ticket {
	if i.leaving.Load() {
		return i.orders.MintAt(ctx, i.peers.Successors())
	}
	return i.orders.Mint()
}

// Receive implements peer.Handler.
func (i *instance) Receive(message core.Exchange) core.Exchange {
	return i.peers.Receive(message)
}

// RunForwarded implements peer.Handler.
func (i *instance) RunForwarded(ctx context.Context, ticket core.Ticket, request core.Request) core.Answer {
	return i.orders.RunForwarded(ctx, ticket, request)
}

// AnswerDelegated implements peer.Handler. Only routed requests are delegated.
func (i *instance) AnswerDelegated(ctx context.Context, request core.DelegatedRequest) core.DelegatedAnswer {
	if i.routes == nil {
		return core.DelegatedAnswer{Answer: core.RoutedAnswer{Outcome: core.OutcomeNotRun, Reason: core.ReasonNotReady}}
	}
	return i.routes.router.AnswerDelegated(ctx, request)
}

// AnswerGroup implements peer.Handler. An instance that is leaving takes no more groups: the
// one that asks has others.
func (i *instance) AnswerGroup(ctx context.Context, request core.GroupRequest, report func(core.GroupReport) error) error {
	if i.routes == nil || i.leaving.Load() {
		return core.ErrGroupRefused
	}
	return i.routes.router.AnswerGroup(ctx, request, report)
}

// Mint implements peer.Handler.
func (i *instance) Mint() core.Ticket {
	return i.orders.Mint()
}

// Adopt implements peer.Handler.
func (i *instance) Adopt(book core.BookCopy) {
	i.log.Info("tickets taken over", "home", book.Home.Instance, "runs", len(book.Runs))
	i.orders.Adopt(book)
}

// Leaving implements peer.Handler.
func (i *instance) Leaving() bool {
	return i.leaving.Load()
}

// inFlight returns the number of requests that are being answered.
func (i *instance) inFlight() int {
	if i.routes != nil {
		return i.routes.router.InFlight()
	}
	return i.engine.InFlight()
}

// state collects what operators are shown.
func (i *instance) state() operator.State {
	inForce, has := i.store.Current()
	refusals, conflicts := i.store.Refusals()
	self := i.self
	self.Leaving = i.leaving.Load()
	return operator.State{
		Self:             self,
		Ready:            i.readyForMore(),
		StartedAt:        i.startedAt,
		Now:              i.clock.Now(),
		InFlight:         i.inFlight(),
		InForce:          inForce,
		HasConfiguration: has,
		Refusals:         refusals,
		Conflicts:        conflicts,
		List:             i.store.List(),
		PlatformAge:      i.store.PlatformAge(),
		Reader:           i.peers.Reader(),
		Peers:            i.peers.State(),
		Upstreams:        i.fleet.State(),
		Verdicts:         i.quarantine.State(),
		RememberedOrders: i.orders.Remembered(),
		ExtraLoadTokens:  i.budget.Tokens(),
		Gates:            i.gates.State(),
		Counters:         i.counters,
	}
}
