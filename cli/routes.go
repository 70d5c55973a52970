package cli

import (
	"context"
	"net/http"
	"sync"

	"acaciavane/core"
	"acaciavane/io/operator"
	"acaciavane/io/upstream"
	"acaciavane/platform"
)

// Timing of an instance on the users' platform.
const (
	// rosterTick is how often upstreams that are missing from the list are checked, and
	// rosterCalmTick how often the number of instances is while none is missing.
	rosterTick     = 250 * core.Millis(1)
	rosterCalmTick = core.Second
	// routesExchangeInterval is the pause between two exchanges with one peer:
	// peers only help out where the store turns an instance away.
	routesExchangeInterval = 2 * core.Second
	// routesExchangePerInstance keeps the cost of exchanges at an instance that sends
	// requests to upstreams, with as many links as the logarithm of the number of such,
	// below a kilobyte a second.
	routesExchangePerInstance = 50 * core.Millis(1)
)

// watchMargin is how long before the end of the time in which a configuration must
// be in force a watch ends that nothing was heard of. It leaves time to give up a
// call that gets no answer, and to read anew.
const watchMargin = core.Second

// silenceMargin is how long before that time an instance that relies on others reads
// the platform itself. It leaves time for a read.
const silenceMargin = 700 * core.Millis(1)

const (
	// watchPausePart is the part of a configuration's time to be in force, which is that in
	// which leaving upstreams may get no more work, for which a reader lets changes gather
	// that it then reads by one call.
	watchPausePart = 8
	// readRetryMin and readRetryMax are the first and the longest pause after failed
	// reads. The longest is short against a configuration's time to be in force.
	readRetryMin = 100 * core.Millis(1)
	readRetryMax = 500 * core.Millis(1)
)

const (
	// firstJoin is how long an instance waits to hear of others at the first start of all
	// instances: they know nothing of each other, and callers come later.
	firstJoin = 2 * core.Second
	// rejoin is the same for one that starts again. It is longer than all take to listen that
	// were killed at one moment.
	rejoin = 800 * core.Millis(1)
	// joinGossip is how long one that starts again waits after it has heard the first of the
	// others: the time of two exchanges.
	joinGossip = 2 * core.JoinExchangeMillis
)

// joinTime returns how long a starting instance waits to hear of others, at most, and how
// long after it has heard the first.
func joinTime(settings operator.Settings) (join, gossip core.Millis) {
	if settings.FirstStart {
		return firstJoin, firstJoin
	}
	return rejoin, joinGossip
}

// routesCadence reads the store often enough to notice within a configuration's
// time to be in force that a connection to it fell silent.
func routesCadence(settings operator.Settings) core.ReadCadence {
	return core.ReadCadence{
		Wait:       settings.ConfigurationInForce - watchMargin,
		SharedWait: (settings.ConfigurationInForce - watchMargin) / 2,
		Silence:    settings.ConfigurationInForce - silenceMargin,
		Pause:      settings.ConfigurationInForce / watchPausePart,
		RetryMin:   readRetryMin,
		RetryMax:   readRetryMax,
	}
}

// routes are the parts of an instance that pass requests on along routes.
type routes struct {
	instance  *instance
	roster    *core.Roster
	allowance *core.Allowance
	upstreams *platform.Upstreams
	router    *core.Router

	mu            sync.Mutex
	configuration core.Configuration
	// size is how many instances share connections and repeats.
	size int
}

func newRoutes(i *instance, client *upstream.Client) *routes {
	return &routes{
		instance:  i,
		roster:    core.NewRoster(i.clock),
		allowance: core.NewAllowance(i.clock, i.settings.Repeats, 1),
		upstreams: platform.NewUpstreams(i.clock, client),
		size:      1,
	}
}

// wire builds the router. The fleet and the pause guard must be there.
func (r *routes) wire() {
	i := r.instance
	var groups core.GroupClient
	if i.settings.GatherInZones {
		groups = i.peerClient
	}
	r.router = core.NewRouter(core.RouterParts{
		Clock:     i.clock,
		Fleet:     i.fleet,
		Client:    r.upstreams,
		Allowance: r.allowance,
		Pause:     i.pause,
		Lag:       i.lag,
		Counters:  i.counters,

		Store:          i.store,
		Choice:         i.peers,
		DelegateClient: i.peerClient,
		GroupClient:    groups,
		Quarantine:     i.quarantine,
		Log:            i.log,
	})
}

// applyConfiguration puts a configuration in force: first its services, so that
// its routes find them.
func (r *routes) applyConfiguration(configuration core.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configuration = configuration
	r.refresh()
	r.router.Apply(configuration)
}

// applyList takes in a newer list of upstreams.
func (r *routes) applyList(list core.InstanceList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	appeared, missing := r.roster.Update(list)
	r.refresh()
	if len(appeared)+len(missing) > 0 {
		r.instance.log.Info("upstreams changed", "appeared", appeared, "missing", missing, "revision", list.Revision)
	}
}

// refresh brings the fleet up to the configuration, the roster and the number of
// instances. The caller holds the lock.
func (r *routes) refresh() {
	i := r.instance
	r.allowance.Resize(r.size)
	configuration := r.configuration
	configuration.Services = r.roster.Services(configuration)
	configuration.MaxInstances = r.size
	for n, service := range configuration.Services {
		// Each instance needs one connection; where there are more instances than an
		// upstream takes connections, few of them use the same one at a time.
		configuration.Services[n].Connections = max(service.Connections, r.size)
	}
	i.fleet.Apply(configuration)
	for _, member := range r.roster.Members() {
		phase := core.PhaseLive
		if member.Leaving {
			phase = core.PhaseLeaving
		}
		i.fleet.ObserveListed(member.Name, member.Incarnation, phase)
	}
	i.prober.Retain()
}

// run drops upstreams whose grace is over and follows the number of instances.
func (r *routes) run(ctx context.Context) error {
	pause := rosterTick
	for r.instance.clock.Sleep(ctx, pause) == nil {
		size := r.instance.sharers()
		expired := r.roster.Expire()
		r.mu.Lock()
		changed := size != r.size
		if expired || changed {
			r.size = size
			r.refresh()
		}
		r.mu.Unlock()
		pause = rosterCalmTick
		if changed || r.roster.Missing() {
			pause = rosterTick
		}
	}
	return nil
}

// sharers returns among how many instances connections and repeats are shared. Where
// some delegate, those that send requests to upstreams leave half to the others, in case
// that these lose their delegates.
func (i *instance) sharers() int {
	size, senders := i.peers.Size(), i.peers.Senders()
	if senders == size || len(i.peers.Delegates()) > 0 {
		return size
	}
	return min(size, 2*senders)
}

// serveReady returns the server that answers the balancer.
func (r *routes) serveReady() *http.Server {
	ready := func(ctx context.Context) bool {
		r.instance.awaitStart(ctx)
		return r.instance.readyForMore()
	}
	return &http.Server{Handler: platform.ReadyHandler(ready), ReadHeaderTimeout: readHeaderTimeout}
}

const (
	// startPatience is how long the balancer's question waits for an instance that has
	// just started: the next one comes a second later.
	startPatience = 400 * core.Millis(1)
	startPoll     = 10 * core.Millis(1)
)

// awaitStart waits a while for an instance that has just started to know enough to serve.
func (i *instance) awaitStart(ctx context.Context) {
	until := i.clock.Now() + startPatience
	for !i.current() && i.clock.Now() < until {
		if i.clock.Sleep(ctx, startPoll) != nil {
			return
		}
	}
}

// callers returns the handler of callers' requests.
func (r *routes) callers() http.Handler {
	i := r.instance
	limits := func() core.CallerLimits {
		inForce, _ := i.store.Current()
		return inForce.Configuration.Limits
	}
	return platform.NewCallerServer(i.clock, r.router, limits, i.leaving.Load, i.counters, i.log)
}
