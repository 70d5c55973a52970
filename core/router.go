package core

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/go-logr/logr"
)

// RouterConfig holds the dependencies of a Router.
type RouterConfig struct {
	Clock       Clock
	Fleet       *Fleet
	Client      RoutedClient
	RetryBudget *RetryBudget
	Pause       *PauseGuard
	Shutdown    *Shutdown
	Lag         *LagMeter
	Counters    *Counters
	// Store holds the configuration in force.
	Store *Store
	// Delegation selects the instances that requests are delegated to through
	// DelegateClient.
	Delegation     DelegateSelector
	DelegateClient DelegateClient
	// GroupClient asks other instances to gather groups of shards. If it is nil, this
	// instance asks all shards itself.
	GroupClient GroupClient
	// Quarantine records which requests crash upstreams.
	Quarantine *Quarantine
	// Observe, if it is not nil, is called with each answer and the time since the
	// request arrived.
	Observe func(answer RoutedAnswer, elapsed Millis)
	Log     logr.Logger
}

// Router answers routed requests: it finds the route, sends the request to the
// services that the route names, and counts and logs the answer.
type Router struct {
	RouterConfig
	table     atomic.Pointer[RouteTable]
	latencies *routeLatencies
	crashes   *crashDetector
	offloader *offloader
	inFlight  atomic.Int64
	// partsLogged is when the parts of an answer were last logged, in Millis.
	partsLogged atomic.Int64
}

// NewRouter returns a router that has no routes until Apply is called.
func NewRouter(config RouterConfig) *Router {
	return &Router{
		RouterConfig: config,
		latencies:    newRouteLatencies(),
		offloader:    &offloader{clock: config.Clock, lag: config.Lag},
		crashes:      newCrashDetector(config),
	}
}

// Apply replaces the routes by those of the configuration. Requests in flight keep
// the routes that they started with.
func (r *Router) Apply(configuration Configuration) {
	r.table.Store(NewRouteTable(configuration))
	r.latencies.retain(configuration.Routes)
}

// InFlight returns the number of requests in flight.
func (r *Router) InFlight() int {
	return int(r.inFlight.Load())
}

// Serviceable reports whether requests can be answered now: the instance has delegates,
// or enough shards of some scattered route can be reached, or no route is scattered.
// It is false before the first configuration.
func (r *Router) Serviceable() bool {
	table := r.table.Load()
	if table == nil {
		return false
	}
	if len(r.Delegation.Delegates()) > 0 {
		return true
	}
	scatteredRoutes := 0
	for _, routes := range table.hosts {
		for _, route := range routes {
			if !route.Scattered() {
				continue
			}
			scatteredRoutes++
			if r.Fleet.ReachableServices(route.Shards) >= route.MinShards() {
				return true
			}
		}
	}
	return scatteredRoutes == 0
}

// Route answers a request. ctx is cancelled when the caller disconnects.
func (r *Router) Route(ctx context.Context, request RoutedRequest) RoutedAnswer {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.Counters.Add(CountQueries, 1)
	if r.Shutdown.Refusing() {
		answer := refuseStopping()
		r.recordAnswer(request, answer)
		return answer
	}
	if err := r.Pause.Await(ctx); err != nil {
		return refuseRouted(ReasonDeadlinePassed, 0, "the caller has left")
	}
	request.fingerprints = request.newFingerprints()
	answer := r.answer(ctx, request)
	if answer.Outcome == OutcomeUnknown && ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrStopping) {
		answer.Reason = ReasonCallerLeft
	}
	r.recordAnswer(request, answer)
	return answer
}

// maxConfigurationRounds is how many times a request is routed at most. It is routed
// again each time that a newer configuration is learned before it has run.
const maxConfigurationRounds = 3

// answer routes the request by the current configuration, and again if a newer one is
// learned before the request has run.
func (r *Router) answer(ctx context.Context, request RoutedRequest) RoutedAnswer {
	for range maxConfigurationRounds {
		table := r.table.Load()
		if table == nil {
			return refuseRouted(ReasonNotReady, RetryLaterMillis, "no configuration is in force")
		}
		g := &activeRequest{router: r, request: request, table: table}
		if answer, reroute := g.run(ctx); !reroute {
			return answer
		}
	}
	return refuseRouted(ReasonNotReady, RetrySoonMillis, "configurations change")
}

// run answers the request. reroute is true if a newer configuration was learned before
// the request ran: the request must then be routed again.
func (g *activeRequest) run(ctx context.Context) (answer RoutedAnswer, reroute bool) {
	message := g.request.Message
	route, ok := g.table.Match(message.Host, message.Path())
	if !ok {
		answer := refuseRouted(ReasonUnknownRoute, 0, "no route for host %q", message.Host)
		answer.ConfigurationVersion = g.table.version
		return answer, false
	}
	g.route = route
	g.deadline = g.request.Arrived + route.Timeout
	if g.request.Deadline != 0 {
		g.deadline = min(g.deadline, g.request.Deadline)
	}
	answer, reroute = g.answer(ctx)
	answer.Route = route.Name
	answer.ConfigurationVersion = g.table.version
	// The caller of a delegated request is connected to the instance that delegated it, so
	// the load of this instance is no reason for the caller to reconnect.
	answer.CloseConnection = answer.CloseConnection || (!g.delegated && g.router.Lag.Overloaded())
	return answer, reroute
}

// answer refuses requests that can't be served, and sends the others to upstreams or to
// other instances.
func (g *activeRequest) answer(ctx context.Context) (answer RoutedAnswer, reroute bool) {
	r := g.router
	// The request waited about as long as the current lag before it was read.
	lag := r.Lag.Lag()
	g.deadline -= ReplyMarginMillis + Millis(lag)
	objective := float64(g.route.Objective)
	delegates := r.Delegation.Delegates()
	switch {
	case lag > OffloadRefuseFactor*objective:
		return g.refuseLagging(lag), false
	case r.crashes.convicted(g.request) && !r.trialDue(g.request):
		return r.refuseConvicted(g.request), false
	case g.deadline <= r.Clock.Now():
		return refuseRouted(ReasonDeadlinePassed, 0, "the deadline has passed"), false
	case len(delegates) > 0:
		r.Counters.Add(CountDelegated, 1)
		return g.delegate(ctx, delegates)
	}
	if answer, reroute, done := g.offload(ctx); done {
		return answer, reroute
	}
	warmupEnd, warmingUp := r.Delegation.WarmupEnd().Get()
	switch {
	case lag > OverloadRefuseFactor*objective:
		return g.refuseLagging(lag), false
	case warmingUp:
		return refuseRouted(ReasonNotReady, max(RetrySoonMillis, warmupEnd-r.Clock.Now()), "other instances and upstreams are being found"), false
	case r.crashes.convicted(g.request):
		return g.try(ctx), false
	case g.route.Scattered():
		return r.scatter(ctx, g), false
	}
	return r.forward(ctx, g.route, g.request, g.deadline, false), false
}

// refuseLagging refuses the request because of the lag, in milliseconds.
func (g *activeRequest) refuseLagging(lag float64) RoutedAnswer {
	return refuseRouted(ReasonOverloaded, RetrySoonMillis, "this instance is %.0f ms behind", lag)
}

// forward sends the request to the upstreams of one destination until one has answered. If isolated is
// set, it uses only upstreams that run nothing else for this instance.
func (r *Router) forward(ctx context.Context, route Route, request RoutedRequest, deadline Millis, isolated bool) RoutedAnswer {
	service := route.pick()
	if r.Fleet.ReachableServices([]string{service}) == 0 {
		answer := refuseRouted(ReasonNoUpstream, RetrySoonMillis, "no upstream of %s can be reached", service)
		answer.Service = service
		return answer
	}
	attemptCtx, release := r.attemptContext(ctx, deadline)
	defer release()
	waitCtx, cancel := r.Clock.WithDeadline(attemptCtx, deadline)
	defer cancel()
	d := &dispatch{
		router: r, route: route, request: request, service: service, deadline: deadline,
		queueDeadline: r.queueDeadline(route, deadline), attemptCtx: attemptCtx, isolated: isolated,
	}
	reply, failure := d.run(waitCtx)
	answer := d.conclude(reply, failure)
	answer.Attempts = d.arrivals
	answer.Service = service
	return answer
}

// conclude returns the answer for the result of a finished dispatch.
func (d *dispatch) conclude(reply RoutedReply, failure *AttemptError) RoutedAnswer {
	switch {
	case failure == nil, failure.Kind == FailureError:
		return RoutedAnswer{Outcome: OutcomeAnswered, Reply: Some(reply)}
	case d.possibleRuns == 0 && limitWait(failure) > 0:
		d.router.Counters.Add(CountLimited, 1)
		return refuseRouted(ReasonOverloaded, retryAfterLimit(failure), "%s has no room: %v", d.service, failure)
	case d.possibleRuns == 0 && timedOutInQueue(failure), failure.Kind == FailureNotRun && d.possibleRuns == 0:
		return refuseRouted(ReasonOverloaded, RetryLaterMillis, "%s has no room: %v", d.service, failure)
	case d.possibleRuns == 0:
		return refuseRouted(ReasonNoUpstream, RetrySoonMillis, "%s can't be reached: %v", d.service, failure)
	case failure.Kind == FailureTimeout:
		return RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonTimeout, Detail: failure.Error()}
	}
	return RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonConnectionLost, Detail: failure.Error()}
}

// limitWait returns how long request limits keep upstreams from accepting a request that failed
// because of them, or zero if the failure has another cause.
func limitWait(failure *AttemptError) Millis {
	var limited *LimitedError
	if failure != nil && errors.As(failure.Cause, &limited) {
		return max(1, limited.Wait)
	}
	return 0
}

// retryAfterLimit returns the delay after which a caller whose request failed because of request
// limits may retry. It varies, so that the callers do not return all at once.
func retryAfterLimit(failure *AttemptError) Millis {
	wait := max(RetrySoonMillis, limitWait(failure))
	spread := wait
	if limited := new(LimitedError); errors.As(failure.Cause, &limited) && limited.Paused {
		// The load returns over this time.
		spread = min(spread, SlowStartMillis)
	}
	return wait + Millis(rand.Int64N(int64(spread)))
}

// queueDeadline returns the time until which a request may wait for a free slot at an
// upstream. On a scattered route it may wait until the answer is closed without the
// missing shards.
func (r *Router) queueDeadline(route Route, deadline Millis) Millis {
	if route.Scattered() {
		return min(deadline, r.Clock.Now()+route.Objective-CloseMarginMillis)
	}
	return min(deadline, r.Clock.Now()+max(1, Millis(SlotWaitFactor*float64(route.Objective))))
}

// attemptContext returns the context of a request's attempts and a release function. The
// context ends at once if the caller disconnects before release is called. Otherwise it
// ends AbandonedAttemptGraceMillis after release, or at the deadline if that is earlier.
func (r *Router) attemptContext(ctx context.Context, deadline Millis) (context.Context, func()) {
	attemptCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	return attemptCtx, func() {
		if !stop() {
			cancel()
			return
		}
		r.Clock.AfterFunc(min(AbandonedAttemptGraceMillis, deadline-r.Clock.Now()), cancel)
	}
}

// refuseRouted returns an answer that says that no upstream ran the request. retryAfter is
// how long the caller should wait before it retries, or zero.
func refuseRouted(reason Reason, retryAfter Millis, format string, values ...any) RoutedAnswer {
	return RoutedAnswer{
		Outcome:         OutcomeNotRun,
		Reason:          reason,
		Detail:          fmt.Sprintf(format, values...),
		RetryAfter:      retryAfter,
		CloseConnection: reason == ReasonNoUpstream,
	}
}

// refuseStopping refuses a request that arrives late in a planned stop. It might not be answered
// before the process exits.
func refuseStopping() RoutedAnswer {
	answer := refuseRouted(ReasonNotReady, RetrySoonMillis, "this instance is stopping")
	answer.CloseConnection = true
	return answer
}

// recordAnswer counts and logs the answer to a caller.
func (r *Router) recordAnswer(request RoutedRequest, answer RoutedAnswer) {
	if r.Observe != nil {
		r.Observe(answer, r.Clock.Since(request.Arrived))
	}
	merged, _ := answer.Merged.Get()
	switch {
	case answer.Outcome == OutcomeNotRun:
		r.Counters.Add(CountRefused, 1)
	case answer.Outcome != OutcomeAnswered:
		r.Counters.Add(CountUnknown, 1)
	default:
		r.Counters.Add(CountAnswered, 1)
		if merged.Missing > 0 {
			r.Counters.Add(CountPartial, 1)
		}
	}
	r.logAnswer(request, answer)
}

// logAnswer logs an answer: at the debug level if it is complete and no reply was rejected, at the
// info level if not.
func (r *Router) logAnswer(request RoutedRequest, answer RoutedAnswer) {
	merged, _ := answer.Merged.Get()
	complete := answer.Outcome == OutcomeAnswered && merged.Missing == 0
	if complete && answer.Parts.Rejected == 0 && !r.Log.V(1).Enabled() {
		return
	}
	fields := []any{"route", answer.Route, "configuration", answer.ConfigurationVersion,
		"attempts", answer.Attempts, "elapsedMillis", int64(r.Clock.Since(request.Arrived))}
	for name, value := range map[string]string{"service": answer.Service, "shards": answer.MissingShards, "delegate": answer.Delegate} {
		if value != "" {
			fields = append(fields, name, value)
		}
	}
	fields = append(fields, answer.Parts.logFields()...)
	switch {
	case answer.Outcome == OutcomeNotRun:
		r.logEvent(request, "refused", append(fields, "reason", string(answer.Reason), "detail", answer.Detail,
			"retryAfterMillis", int64(answer.RetryAfter), "lagMillis", r.Lag.Lag())...)
	case answer.Outcome != OutcomeAnswered:
		r.logEvent(request, "outcome unknown", append(fields, "reason", string(answer.Reason), "detail", answer.Detail)...)
	case merged.Missing > 0:
		r.logEvent(request, "answered in part", append(fields, "missing", merged.Missing)...)
	case answer.Parts.Rejected > 0:
		r.logEvent(request, "answered", fields...)
	default:
		r.Log.V(1).Info("answered", append([]any{"request", request.ID}, fields...)...)
	}
}

// logEvent logs an event of a request.
func (r *Router) logEvent(request RoutedRequest, event string, values ...any) {
	r.Log.Info(event, append([]any{"request", request.ID}, values...)...)
}
