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

// dialTimeout bounds the opening of a connection to an upstream, a peer or the platform.
const dialTimeout = core.Second

// instance holds the components of one entry instance: those of package core, which make the
// decisions, and the adapters that they use.
type instance struct {
	settings   operator.Settings
	clock      core.Clock
	log        logr.Logger
	self       core.PeerInfo
	startedAt  core.Millis
	counters   *core.Counters
	store      *core.Store
	fleet      *core.Fleet
	facts      *core.FactLog
	quarantine *core.Quarantine
	budget     *core.TokenBudget
	pause      *core.PauseGuard
	lag        *core.LagMeter
	prober     *core.Prober
	tokens     *core.TokenKeeper
	peers      *core.Peers
	watcher    *core.PlatformWatcher
	engine     *core.Engine
	gates      *core.GateSet
	orders     *core.Orders
	peerClient *peer.Client
	ports      ports
	upstreams  *upstream.Client
	// routes is nil unless the instance has the routes interface.
	routes  *routes
	leaving atomic.Bool
	// shutdown tells how far the planned stop has gone.
	shutdown *core.Shutdown
	// wasReady is set once initialised has returned true.
	wasReady atomic.Bool
	// lastUnreadyReason is the reason that was last logged for not being ready, or an empty
	// string if the instance was last logged as ready.
	lastUnreadyReason atomic.Pointer[string]
	// lastInvalidEntries are the invalid entries of the instance list that were last logged.
	lastInvalidEntries []string
}

// newInstance creates the components of an instance and connects them.
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
	i.ports = i.newPorts()
	i.shutdown = core.NewShutdown()
	i.facts = core.NewFactLog(clock)
	i.fleet = core.NewFleet(clock, settings.Zone, settings.Policy, i.recordFact)
	i.fleet.OnChange(i.logUpstream)
	i.fleet.OnLimitChange(i.logLimit)
	i.fleet.OnColdChange(i.logCold)
	i.fleet.OnPauseChange(i.logPause)
	i.fleet.OnInvalidSignals(i.logInvalidSignals)
	if bound, ok := settings.ColdBound.Get(); ok {
		i.fleet.SetColdBound(bound)
	}
	i.fleet.OnEstimateChange(i.logEstimate)
	i.quarantine = core.NewQuarantine(clock, i.recordFact)
	i.budget = core.NewTokenBudget(core.ExtraLoadShare, core.ExtraLoadBurst)
	i.pause = core.NewPauseGuard(clock, i.counters, i.refreshView)
	i.lag = core.NewLagMeter(clock)
	i.pause.OnTick(i.lag.Observe)
	i.wireComponents()
	i.wireOrders()
	if i.routes != nil {
		i.routes.wire()
	}
	return i
}

// newDialer returns a dialer that connects from the given IP address, unless it is empty.
func newDialer(source string) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	return dialer
}

// sources are the components and the timing with which an instance learns of published values,
// upstreams and other instances. They depend on its interface.
type sources struct {
	platform         core.Platform
	decoder          core.Decoder
	probes           core.ProbeClient
	applyList        func(core.InstanceList)
	intervals        core.ReadIntervals
	readersPerZone   int
	exchangeInterval core.Millis
	// exchangePerInstance, multiplied by the number of instances that send requests to
	// upstreams, replaces exchangeInterval if the product is longer.
	exchangePerInstance core.Millis
	// delegate allows the instance to delegate requests to others.
	delegate bool
	// joinTimeout is how long a starting instance waits at most to learn of the instances that
	// it could delegate to, and joinGossipTimeout is how long it waits after the first message
	// from another instance.
	joinTimeout       core.Millis
	joinGossipTimeout core.Millis
}

// chooseSources returns the sources for the instance's interface. It creates the routes of an
// instance with the routes interface.
func (i *instance) chooseSources(dialer *net.Dialer, upstreams *upstream.Client) sources {
	if i.settings.Interface == operator.InterfaceRoutes {
		i.routes = newRoutes(i, upstreams)
		joinTimeout, joinGossipTimeout := joinTimeouts(i.settings)
		feed := platform.NewFeed(i.settings.PlatformAddress, dialer)
		if i.settings.EvacuationDelay > 0 {
			feed.ReadEvacuations()
		}
		feed.OnRewind(i.recordRewind)
		return sources{
			platform:            feed,
			decoder:             platform.NewDecoder(),
			probes:              i.routes.upstreams,
			applyList:           i.routes.applyList,
			intervals:           routesReadIntervals(i.settings),
			exchangeInterval:    routesExchangeInterval,
			exchangePerInstance: routesExchangePerInstance,
			delegate:            true,
			joinTimeout:         joinTimeout,
			joinGossipTimeout:   joinGossipTimeout,
		}
	}
	return sources{
		platform:         configservice.New(i.settings.PlatformAddress, dialer),
		decoder:          configservice.NewDecoder(),
		probes:           upstreams,
		applyList:        i.fleet.ApplyList,
		intervals:        core.DefaultReadIntervals(),
		readersPerZone:   core.ReadersPerZone,
		exchangeInterval: core.ExchangeIntervalMillis,
	}
}

// wireComponents creates the components that track published values, peers and upstreams, and
// the engine that uses them.
func (i *instance) wireComponents() {
	dialer := newDialer(i.settings.SourceAddress)
	upstreams := upstream.New(i.clock, dialer, i.counters)
	upstreams.LogTo(i.log)
	i.upstreams = upstreams
	sources := i.chooseSources(dialer, upstreams)
	i.prober = core.NewProber(i.clock, i.fleet, sources.probes)
	i.store = core.NewStore(i.clock, sources.decoder, i.counters)
	i.store.OnConfiguration(i.applyConfiguration)
	i.store.OnInstanceList(i.logInvalidEntries)
	if i.settings.EvacuationDelay > 0 {
		// The zones come first, so that upstreams that the list adds are never used in one of them.
		i.store.AwaitOwnRead()
		i.store.OnInstanceList(core.NewEvacuation(i.fleet, i.counters, i.log).Apply)
	}
	i.store.OnInstanceList(sources.applyList)
	i.peerClient = peer.NewClient(i.clock, i.counters, dialer)
	coldBound, keepCensus := i.settings.ColdBound.Get()
	i.peers = core.NewPeers(core.PeersConfig{
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

		ExchangePerInstance: sources.exchangePerInstance,
		KeepCensus:          keepCensus,
		Delegate:            sources.delegate,
		JoinTimeout:         sources.joinTimeout,
		JoinGossipTimeout:   sources.joinGossipTimeout,
	})
	i.tokens = core.NewTokenKeeper(core.TokenKeeperConfig{
		Self:     i.self.Address,
		Clock:    i.clock,
		Fleet:    i.fleet,
		Peers:    i.peers,
		Client:   i.peerClient,
		Counters: i.counters,
		Log:      i.log,

		ColdBound: coldBound,
	})
	i.watcher = core.NewPlatformWatcher(core.PlatformWatcherConfig{
		Clock:     i.clock,
		Platform:  sources.platform,
		Store:     i.store,
		Peers:     i.peers,
		Counters:  i.counters,
		Intervals: sources.intervals,
		Log:       i.log,
	})
	i.gates = core.NewGateSet(i.clock, core.Priorities)
	i.engine = core.NewEngine(core.EngineConfig{
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
		NotifyPeers: i.peers.ExchangeWithAll,
	})
}

// wireOrders creates the component that runs orders.
func (i *instance) wireOrders() {
	home := core.Home{Instance: i.self.Name, Incarnation: i.self.Incarnation}
	i.orders = core.NewOrders(i.engine, i.peerClient, i.peers.KnownAddress, home, i.self.Address, i.recordFact)
}

// recordFact records a fact that this instance has seen. Exchanges pass it on to the peers.
func (i *instance) recordFact(fact core.Fact) {
	if i.facts.Merge(fact) {
		i.log.Info("fact recorded", "kind", fact.Kind, "subject", fact.Subject, "stamp", fact.Stamp, "verdict", fact.Verdict)
	}
}

// applyFact applies a fact that a peer has seen.
func (i *instance) applyFact(fact core.Fact) {
	i.log.Info("fact received", "kind", fact.Kind, "subject", fact.Subject, "stamp", fact.Stamp, "verdict", fact.Verdict)
	switch fact.Kind {
	case core.FactUpstreamLeaving:
		i.fleet.MarkLeaving(fact.Subject, fact.Stamp, "peer")
	case core.FactVerdict:
		i.quarantine.Apply(fact)
	case core.FactTicketsMoved:
		i.orders.RecordMoved(fact)
	case core.FactUpstreamLimit:
		i.fleet.ApplyLimit(fact)
	case core.FactUpstreamCold:
		i.fleet.ApplyCold(fact)
	}
}

// recordRewind records that the platform's store has come back from an older copy of itself.
func (i *instance) recordRewind(rewind platform.Rewind) {
	i.counters.Add(core.CountStoreRewinds, 1)
	i.log.Info("platform's store came back from an older copy; reading everything anew",
		"era", rewind.To, "eraBefore", rewind.From, "revisionBefore", rewind.Revision)
}

// applyConfiguration puts a new configuration in force.
func (i *instance) applyConfiguration(configuration core.Configuration) {
	if i.routes != nil {
		i.routes.applyConfiguration(configuration)
	} else {
		i.fleet.Apply(configuration)
		i.prober.Wake()
	}
	i.log.Info("configuration in force", "version", configuration.Version, "digest", configuration.Digest)
	if len(configuration.Invalid) > 0 {
		i.counters.Add(core.CountInvalidSignals, len(configuration.Invalid))
		i.log.Info("invalid fields in the configuration", "fields", configuration.Invalid, "version", configuration.Version)
	}
}

// refreshView reads from the peers, the platform and the upstreams what changed
// while the process was suspended.
func (i *instance) refreshView(ctx context.Context) {
	i.log.Info("process was suspended; refreshing its view")
	var group errgroup.Group
	group.Go(func() error { return i.watcher.Refresh(ctx) })
	group.Go(func() error { i.peers.ExchangeWithAll(ctx); return nil })
	if i.routes == nil {
		group.Go(func() error { i.prober.ProbeAll(ctx); return nil })
	}
	if err := group.Wait(); err != nil {
		i.log.Error(err, "view not refreshed")
	}
}

// run runs the background tasks of the instance until ctx ends.
func (i *instance) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return i.pause.Run(ctx) })
	group.Go(func() error { return i.peers.Run(ctx) })
	group.Go(func() error { return i.watcher.Run(ctx) })
	group.Go(func() error { return i.tokens.Run(ctx) })
	group.Go(func() error { return i.expireConnections(ctx) })
	if i.routes == nil {
		group.Go(func() error { return i.prober.Run(ctx) })
	} else {
		group.Go(func() error { return i.prober.RunSuspects(ctx) })
		group.Go(func() error { return i.routes.run(ctx) })
	}
	return group.Wait()
}

// initialised reports whether the instance has a configuration in force and has
// called the platform, its peers and its upstreams at least once. Once it has
// returned true, it always does.
func (i *instance) initialised() bool {
	if i.wasReady.Load() {
		return true
	}
	if _, ok := i.store.Current(); !ok {
		return false
	}
	if !i.watcher.AllTried() || !i.peers.AllTried() {
		return false
	}
	if i.routes == nil && !i.prober.AllProbed() {
		return false
	}
	i.wasReady.Store(true)
	return true
}

// Ready implements caller.Service. An instance that is leaving is still ready for
// the callers that reach it.
func (i *instance) Ready() bool {
	return i.initialised()
}

// acceptsCallers reports whether the balancer should send callers to this instance, and logs
// when that or the reason changes.
func (i *instance) acceptsCallers() bool {
	reason := i.unreadyReason()
	if before := i.lastUnreadyReason.Swap(&reason); before == nil || *before != reason {
		i.log.Info("readiness changed", "ready", reason == "", "reason", reason, "lagMillis", i.lag.Lag())
	}
	return reason == ""
}

// unreadyReason returns why the balancer should send no more callers, or an empty string.
func (i *instance) unreadyReason() string {
	switch {
	case i.leaving.Load():
		return "leaving"
	case !i.initialised():
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
	if i.shutdown.Refusing() {
		return core.Refuse(request.ID, core.ReasonNotReady, "the instance is stopping")
	}
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
func (i *instance) Receive(message core.ExchangeMessage) core.ExchangeMessage {
	return i.peers.Receive(message)
}

// RunForwarded implements peer.Handler.
func (i *instance) RunForwarded(ctx context.Context, ticket core.Ticket, request core.Request) core.Answer {
	ctx, release := i.shutdown.Bind(ctx)
	defer release()
	return i.orders.RunForwarded(ctx, ticket, request)
}

// AnswerDelegated implements peer.Handler. Only routed requests are delegated.
func (i *instance) AnswerDelegated(ctx context.Context, request core.DelegatedRequest) core.DelegatedAnswer {
	if i.routes == nil {
		return core.DelegatedAnswer{Answer: core.RoutedAnswer{Outcome: core.OutcomeNotRun, Reason: core.ReasonNotReady}}
	}
	ctx, release := i.shutdown.Bind(ctx)
	defer release()
	return i.routes.router.AnswerDelegated(ctx, request)
}

// AnswerGroup implements peer.Handler. An instance that is leaving accepts no more groups, as
// the peer can send them to other instances.
func (i *instance) AnswerGroup(ctx context.Context, request core.GroupRequest, report func(core.GroupReport) error) error {
	if i.routes == nil || i.leaving.Load() {
		return core.ErrGroupRefused
	}
	ctx, release := i.shutdown.Bind(ctx)
	defer release()
	return i.routes.router.AnswerGroup(ctx, request, report)
}

// GrantTokens implements peer.Handler.
func (i *instance) GrantTokens(request core.TokenRequest) core.TokenReply {
	return i.tokens.Grant(request)
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

// inFlight returns the number of requests in flight.
func (i *instance) inFlight() int {
	if i.routes != nil {
		return i.routes.router.InFlight()
	}
	return i.engine.InFlight()
}

// state returns the state that operators are shown.
func (i *instance) state() operator.State {
	inForce, hasConfiguration := i.store.Current()
	refusals, conflicts := i.store.Refusals()
	self := i.self
	self.Leaving = i.leaving.Load()
	return operator.State{
		Self:             self,
		Ready:            i.acceptsCallers(),
		StartedAt:        i.startedAt,
		Now:              i.clock.Now(),
		InFlight:         i.inFlight(),
		InForce:          inForce,
		HasConfiguration: hasConfiguration,
		Refusals:         refusals,
		Conflicts:        conflicts,
		List:             i.store.List(),
		EvacuatedZones:   i.fleet.EvacuatedZones(),
		PlatformAge:      i.store.PlatformAge(),
		PlatformReader:   i.peers.ReadsPlatform(),
		Peers:            i.peers.State(),
		Upstreams:        i.fleet.State(),
		ExtraInputs:      i.upstreams.ExtraInputs(),
		SingleUses:       i.upstreams.SingleUses(),
		Verdicts:         i.quarantine.State(),
		RememberedOrders: i.orders.RunCount(),
		ExtraLoadTokens:  i.budget.Tokens(),
		Gates:            i.gates.State(),
		Ports:            i.ports.states(),
		Counters:         i.counters,
	}
}
