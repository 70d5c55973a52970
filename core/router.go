package core

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/go-logr/logr"
)

// RouterParts are what a router is built from.
type RouterParts struct {
	Clock     Clock
	Fleet     *Fleet
	Client    RoutedClient
	Allowance *Allowance
	Pause     *PauseGuard
	Lag       *LagMeter
	Counters  *Counters
	// Store holds the configuration in force.
	Store *Store
	// Choice says which instances requests are delegated to, by DelegateClient.
	Choice         DelegateChoice
	DelegateClient DelegateClient
	// GroupClient has other instances gather groups of shards, unless it is nil.
	GroupClient GroupClient
	// Quarantine keeps the verdicts on requests that crash upstreams.
	Quarantine *Quarantine
	// Observe is told of each answer and the time that it took, unless it is nil.
	Observe func(answer RoutedAnswer, elapsed Millis)
	Log     logr.Logger
}

// Router answers routed requests: it finds the route, sends the request to the
// services that the route names and accounts for what they answered.
type Router struct {
	RouterParts
	table    atomic.Pointer[RouteTable]
	paces    *paces
	crashes  *crashWatch
	relief   *relief
	inFlight atomic.Int64
}

// NewRouter returns a router without routes.
func NewRouter(parts RouterParts) *Router {
	return &Router{
		RouterParts: parts,
		paces:       newPaces(),
		relief:      &relief{clock: parts.Clock, lag: parts.Lag},
		crashes:     &crashWatch{clock: parts.Clock, fleet: parts.Fleet, quarantine: parts.Quarantine},
	}
}

// Apply puts the routes of a configuration in force. Requests under way keep to
// those that they started with.
func (r *Router) Apply(configuration Configuration) {
	r.table.Store(NewRouteTable(configuration))
	r.paces.retain(configuration.Routes)
}

// InFlight returns the number of requests that are being answered.
func (r *Router) InFlight() int {
	return int(r.inFlight.Load())
}

// Serviceable reports whether some route with shards could be answered now, or
// there is none.
func (r *Router) Serviceable() bool {
	table := r.table.Load()
	if table == nil {
		return false
	}
	if len(r.Choice.Delegates()) > 0 {
		return true
	}
	scattered := 0
	for _, routes := range table.hosts {
		for _, route := range routes {
			if !route.Scattered() {
				continue
			}
			scattered++
			if r.Fleet.ReachableServices(route.Shards) >= route.LeastShards() {
				return true
			}
		}
	}
	return scattered == 0
}

// Route answers a request. ctx ends when the caller has left.
func (r *Router) Route(ctx context.Context, request RoutedRequest) RoutedAnswer {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.Counters.Add(CountQueries, 1)
	if err := r.Pause.Await(ctx); err != nil {
		return refuseRouted(ReasonDeadlinePassed, 0, "the caller has left")
	}
	request.fingerprint = request.newFingerprint()
	answer := r.answer(ctx, request)
	if answer.Outcome == OutcomeUnknown && ctx.Err() != nil {
		answer.Reason = ReasonCallerLeft
	}
	r.finish(request, answer)
	return answer
}

// maxConfigurationRounds is how often a request is routed anew because a newer
// configuration was learned on its way.
const maxConfigurationRounds = 3

func (r *Router) answer(ctx context.Context, request RoutedRequest) RoutedAnswer {
	for range maxConfigurationRounds {
		table := r.table.Load()
		if table == nil {
			return refuseRouted(ReasonNotReady, RetryLaterMillis, "no configuration is in force")
		}
		g := &routing{router: r, request: request, table: table}
		if answer, renewed := g.run(ctx); !renewed {
			return answer
		}
	}
	return refuseRouted(ReasonNotReady, RetrySoonMillis, "configurations change")
}

// run answers the request. renewed is set when a newer configuration was learned before
// it was run.
func (g *routing) run(ctx context.Context) (answer RoutedAnswer, renewed bool) {
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
	answer, renewed = g.answer(ctx)
	answer.Route = route.Name
	answer.ConfigurationVersion = g.table.version
	// A caller's connection is to the instance that delegated the request.
	answer.MoveOn = answer.MoveOn || (!g.delegated && g.router.Lag.Overloaded())
	return answer, renewed
}

// answer refuses what can't be served, and has upstreams or other instances answer the rest.
func (g *routing) answer(ctx context.Context) (answer RoutedAnswer, renewed bool) {
	r := g.router
	// The request has waited to be read for about as long as the process is behind.
	lag := r.Lag.Lag()
	g.deadline -= ReplyMarginMillis + Millis(lag)
	objective := float64(g.route.Objective)
	delegates := r.Choice.Delegates()
	switch {
	case lag > ReliefRefuseFactor*objective:
		return g.refuseBehind(lag), false
	case r.crashes.convicted(g.request.fingerprint):
		r.Counters.Add(CountCrashersRefused, 1)
		return refuseRouted(ReasonCrashesUpstreams, 0, "requests with fingerprint %s crash upstreams", g.request.fingerprint), false
	case g.deadline <= r.Clock.Now():
		return refuseRouted(ReasonDeadlinePassed, 0, "the deadline has passed"), false
	case len(delegates) > 0:
		r.Counters.Add(CountDelegated, 1)
		return g.delegate(ctx, delegates)
	}
	if answer, renewed, done := g.relieve(ctx); done {
		return answer, renewed
	}
	settled, settling := r.Choice.Settling().Get()
	switch {
	case lag > OverloadRefuseFactor*objective:
		return g.refuseBehind(lag), false
	case settling:
		return refuseRouted(ReasonNotReady, max(RetrySoonMillis, settled-r.Clock.Now()), "other instances and upstreams are being found"), false
	case g.route.Scattered():
		return r.scatter(ctx, g), false
	}
	return r.forward(ctx, g.route, g.request, g.deadline), false
}

func (g *routing) refuseBehind(lag float64) RoutedAnswer {
	return refuseRouted(ReasonOverloaded, RetrySoonMillis, "this instance is %.0f ms behind", lag)
}

// forward has one upstream of one destination answer the request.
func (r *Router) forward(ctx context.Context, route Route, request RoutedRequest, deadline Millis) RoutedAnswer {
	service := route.pick()
	if r.Fleet.ReachableServices([]string{service}) == 0 {
		answer := refuseRouted(ReasonNoUpstream, RetrySoonMillis, "no upstream of %s can be reached", service)
		answer.Service = service
		return answer
	}
	work, release := r.workContext(ctx, deadline)
	defer release()
	waiting, cancel := r.Clock.WithDeadline(work, deadline)
	defer cancel()
	d := &dispatch{
		router: r, route: route, request: request, service: service, deadline: deadline,
		patience: r.roomPatience(route, deadline), work: work,
	}
	reply, failure := d.run(waiting)
	answer := d.conclude(reply, failure)
	answer.Attempts = d.arrivals
	answer.Service = service
	return answer
}

// conclude returns the answer that follows from the end of a dispatch.
func (d *dispatch) conclude(reply RoutedReply, failure *AttemptError) RoutedAnswer {
	switch {
	case failure == nil, failure.Kind == FailureError:
		return RoutedAnswer{Outcome: OutcomeAnswered, Reply: Some(reply)}
	case d.runs == 0 && withoutRoom(failure), failure.Kind == FailureNotRun && d.runs == 0:
		return refuseRouted(ReasonOverloaded, RetryLaterMillis, "%s has no room: %v", d.service, failure)
	case d.runs == 0:
		return refuseRouted(ReasonNoUpstream, RetrySoonMillis, "%s can't be reached: %v", d.service, failure)
	case failure.Kind == FailureTimeout:
		return RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonTimeout, Detail: failure.Error()}
	}
	return RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonConnectionLost, Detail: failure.Error()}
}

// roomPatience returns until when a request may wait for room at an upstream. One
// shard of several may wait until the answer is closed without it.
func (r *Router) roomPatience(route Route, deadline Millis) Millis {
	if route.Scattered() {
		return min(deadline, r.Clock.Now()+route.Objective-CloseMarginMillis)
	}
	return min(deadline, r.Clock.Now()+max(1, Millis(RoomWaitFactor*float64(route.Objective))))
}

// workContext returns the context of a request's attempts. It ends at once when
// the caller leaves before release is called, and a while after release, at the deadline
// at the latest.
func (r *Router) workContext(ctx context.Context, deadline Millis) (context.Context, func()) {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	return work, func() {
		if !stop() {
			cancel()
			return
		}
		r.Clock.AfterFunc(min(LoserGraceMillis, deadline-r.Clock.Now()), cancel)
	}
}

func refuseRouted(reason Reason, retryAfter Millis, format string, values ...any) RoutedAnswer {
	return RoutedAnswer{
		Outcome:    OutcomeNotRun,
		Reason:     reason,
		Detail:     fmt.Sprintf(format, values...),
		RetryAfter: retryAfter,
		MoveOn:     reason == ReasonNoUpstream,
	}
}

// finish counts the answer to a caller and writes it down.
func (r *Router) finish(request RoutedRequest, answer RoutedAnswer) {
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
	r.report(request, answer)
}

// report writes a line about an answer that is not whole, and takes in that a request
// with a whole one does not crash upstreams.
func (r *Router) report(request RoutedRequest, answer RoutedAnswer) {
	facts := []any{"route", answer.Route, "configuration", answer.ConfigurationVersion,
		"attempts", answer.Attempts, "elapsedMillis", int64(r.Clock.Since(request.Arrived))}
	for name, value := range map[string]string{"service": answer.Service, "shards": answer.Shards, "delegate": answer.Delegate} {
		if value != "" {
			facts = append(facts, name, value)
		}
	}
	merged, _ := answer.Merged.Get()
	switch {
	case answer.Outcome == OutcomeNotRun:
		r.story(request, "refused", append(facts, "reason", string(answer.Reason), "detail", answer.Detail,
			"retryAfterMillis", int64(answer.RetryAfter), "lagMillis", r.Lag.Lag())...)
	case answer.Outcome != OutcomeAnswered:
		r.story(request, "outcome unknown", append(facts, "reason", string(answer.Reason), "detail", answer.Detail)...)
	case merged.Missing > 0:
		r.story(request, "answered in part", append(facts, "missing", merged.Missing)...)
	default:
		r.crashes.survived(request.fingerprint)
		r.Log.V(1).Info("answered", append([]any{"request", request.ID}, facts...)...)
	}
}

// story writes down a decision on a request.
func (r *Router) story(request RoutedRequest, event string, values ...any) {
	r.Log.Info(event, append([]any{"request", request.ID}, values...)...)
}
