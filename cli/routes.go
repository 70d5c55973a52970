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

// Timing of an instance with the routes interface, which runs on the users' platform.
const (
	// rosterInterval is how often the roster and the number of instances are checked while
	// upstreams are missing from the instance list or the number has just changed, and
	// rosterIdleInterval is how often they are checked otherwise.
	rosterInterval     = 250 * core.Millis(1)
	rosterIdleInterval = core.Second
	// routesExchangeInterval is the delay between two exchanges with one peer. It may be
	// long, as an instance needs its peers only while the platform refuses to serve it.
	routesExchangeInterval = 2 * core.Second
	// routesExchangePerInstance, multiplied by the number of instances that send requests
	// to upstreams, is the minimum of this delay at one of them. It keeps the traffic of
	// its exchanges below one kilobyte per second: the number of peers that it exchanges
	// messages with grows with the logarithm of the number of these instances.
	routesExchangePerInstance = 50 * core.Millis(1)
)

// watchMargin is subtracted from the time within which a published configuration must
// be in force to get the longest wait of a watch without a change. It leaves time to
// give up a call that gets no answer, and to read again.
const watchMargin = core.Second

// maxAgeMargin is subtracted from the same time to get the time without contact with the
// platform after which an instance that relies on others reads it itself. It leaves time
// for a read.
const maxAgeMargin = 700 * core.Millis(1)

const (
	// watchPauseDivisor divides the time within which a published configuration must be in
	// force. The result is the mean delay between two watches. Leaving upstreams must stop
	// getting requests within the same time. All changes during a delay are read by one
	// call.
	watchPauseDivisor = 8
	// readRetryMin and readRetryMax are the first and the longest mean delay after failed
	// reads of the platform. The longest is short compared with the time within which a
	// published configuration must be in force.
	readRetryMin = 100 * core.Millis(1)
	readRetryMax = 500 * core.Millis(1)
)

const (
	// firstStartJoinTimeout is how long an instance waits to learn of others when all
	// instances start for the first time. They know nothing of each other then, and callers
	// connect later.
	firstStartJoinTimeout = 2 * core.Second
	// restartJoinTimeout is the same for an instance that starts again. It is longer than
	// instances that were killed at the same time need until all of them listen again.
	restartJoinTimeout = 800 * core.Millis(1)
	// restartGossipTimeout is how long an instance that starts again waits after the first
	// message from another one: the time of two exchanges.
	restartGossipTimeout = 2 * core.JoinExchangeMillis
)

// joinTimeouts returns how long a starting instance waits at most to learn of others, and how
// long after the first message from another one.
func joinTimeouts(settings operator.Settings) (joinTimeout, gossipTimeout core.Millis) {
	if settings.FirstStart {
		return firstStartJoinTimeout, firstStartJoinTimeout
	}
	return restartJoinTimeout, restartGossipTimeout
}

// minReadDelay is the shortest time within which published values are put in force.
const minReadDelay = core.Second

// routesReadIntervals returns read intervals that are short enough for an instance to detect
// an unresponsive connection to the platform and still put a published configuration or
// evacuation in force in time.
func routesReadIntervals(settings operator.Settings) core.ReadIntervals {
	delay := settings.MaxConfigurationDelay
	if settings.EvacuationDelay > 0 {
		delay = min(delay, max(settings.EvacuationDelay, minReadDelay))
	}
	return core.ReadIntervals{
		Wait:       delay - watchMargin,
		SharedWait: (delay - watchMargin) / 2,
		MaxAge:     delay - maxAgeMargin,
		Pause:      delay / watchPauseDivisor,
		RetryMin:   readRetryMin,
		RetryMax:   readRetryMax,
	}
}

// routes holds the components of an instance with the routes interface, which forwards
// requests without interpreting them.
type routes struct {
	instance    *instance
	roster      *core.Roster
	retryBudget *core.RetryBudget
	upstreams   *platform.UpstreamClient
	router      *core.Router

	mu            sync.Mutex
	configuration core.Configuration
	// sharingInstances is the number of instances that share the connections of upstreams and
	// the slack of the retry budget.
	sharingInstances int
}

func newRoutes(i *instance, client *upstream.Client) *routes {
	r := &routes{
		instance:         i,
		roster:           core.NewRoster(i.clock),
		retryBudget:      core.NewRetryBudget(i.clock, i.settings.RetryBudget, 1),
		upstreams:        platform.NewUpstreamClient(i.clock, client),
		sharingInstances: 1,
	}
	if !i.settings.FirstStart {
		r.retryBudget.WithholdSlack()
	}
	return r
}

// wire creates the router. The other components of the instance must exist.
func (r *routes) wire() {
	i := r.instance
	var groups core.GroupClient
	if i.settings.GatherInZones {
		groups = i.peerClient
	}
	r.router = core.NewRouter(core.RouterConfig{
		Clock:       i.clock,
		Fleet:       i.fleet,
		Client:      r.upstreams,
		RetryBudget: r.retryBudget,
		Pause:       i.pause,
		Shutdown:    i.shutdown,
		Lag:         i.lag,
		Counters:    i.counters,

		Store:          i.store,
		Delegation:     i.peers,
		DelegateClient: i.peerClient,
		GroupClient:    groups,
		Quarantine:     i.quarantine,
		Log:            i.log,
	})
}

// applyConfiguration puts a configuration in force. Its services come first, as its
// routes refer to them.
func (r *routes) applyConfiguration(configuration core.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configuration = configuration
	r.refresh()
	r.router.Apply(configuration)
}

// applyList applies a newer list of upstreams.
func (r *routes) applyList(list core.InstanceList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	appeared, missing := r.roster.Update(list)
	r.refresh()
	if len(appeared)+len(missing) > 0 {
		r.instance.log.Info("upstreams changed", "appeared", appeared, "missing", missing, "era", list.Revision.Era(), "revision", list.Revision.Number())
	}
}

// refresh applies the configuration, the roster and the number of instances to the
// fleet and the retry budget. The caller holds r.mu.
func (r *routes) refresh() {
	i := r.instance
	r.retryBudget.Resize(r.sharingInstances)
	configuration := r.configuration
	configuration.Services = r.roster.Services(configuration)
	configuration.MaxInstances = r.sharingInstances
	for n, service := range configuration.Services {
		// Each instance needs one connection. Where there are more instances than an upstream
		// accepts connections, only a few instances use the same upstream at the same time.
		configuration.Services[n].Connections = max(service.Connections, r.sharingInstances)
	}
	i.fleet.Apply(configuration)
	for _, member := range r.roster.TakeColdNews() {
		i.fleet.ObserveListedCold(member)
	}
	for _, member := range r.roster.Members() {
		phase := core.PhaseLive
		if member.Leaving {
			phase = core.PhaseLeaving
		}
		i.fleet.ObserveListed(member.Name, member.Incarnation, phase)
	}
	i.prober.Retain()
}

// run removes upstreams whose grace period has ended and applies changes of the number
// of instances, until ctx ends.
func (r *routes) run(ctx context.Context) error {
	delay := rosterInterval
	for r.instance.clock.Sleep(ctx, delay) == nil {
		sharing := r.instance.countSharingInstances()
		expired := r.roster.Expire()
		r.mu.Lock()
		changed := sharing != r.sharingInstances
		if expired || changed {
			r.sharingInstances = sharing
			r.refresh()
		}
		r.mu.Unlock()
		if !r.instance.peers.Joining() {
			r.retryBudget.ReleaseSlack()
		}
		delay = rosterIdleInterval
		if changed || r.roster.HasMissing() {
			delay = rosterInterval
		}
	}
	return nil
}

// countSharingInstances returns the number of instances that share the connections of
// upstreams and the slack of the retry budget. If some instances delegate, those that send
// requests to upstreams use only half of both. The rest is left for the delegating ones, in
// case they lose their delegates.
func (i *instance) countSharingInstances() int {
	size, senders := i.peers.InstanceCount(), i.peers.SenderCount()
	if senders == size || len(i.peers.Delegates()) > 0 {
		return size
	}
	return min(size, 2*senders)
}

// newReadyServer returns the server for the readiness checks of the balancer.
func (r *routes) newReadyServer() *http.Server {
	ready := func(ctx context.Context) bool {
		r.instance.awaitStart(ctx)
		return r.instance.acceptsCallers()
	}
	return newServer(platform.ReadyHandler(ready), maxPortHeadBytes)
}

const (
	// maxStartWait is how long a readiness check waits for an instance that has just
	// started. The balancer repeats the check only after one second.
	maxStartWait = 400 * core.Millis(1)
	// startPollInterval is how often a waiting readiness check tests whether the instance is
	// initialised.
	startPollInterval = 10 * core.Millis(1)
)

// awaitStart waits until the instance is initialised, for at most maxStartWait.
func (i *instance) awaitStart(ctx context.Context) {
	until := i.clock.Now() + maxStartWait
	for !i.initialised() && i.clock.Now() < until {
		if i.clock.Sleep(ctx, startPollInterval) != nil {
			return
		}
	}
}

// callerHandler returns the handler for callers' requests.
func (r *routes) callerHandler() http.Handler {
	i := r.instance
	limits := func() core.CallerLimits {
		inForce, _ := i.store.Current()
		return inForce.Configuration.Limits
	}
	return platform.NewCallerServer(i.clock, r.router, limits, i.leaving.Load, i.counters, i.log)
}
