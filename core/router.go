package core

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

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
	inFlight atomic.Int64
}

// NewRouter returns a router without routes.
func NewRouter(parts RouterParts) *Router {
	return &Router{
		RouterParts: parts,
		paces:       newPaces(),
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
	r.finish(request, answer)
	return answer
}

func (r *Router) answer(ctx context.Context, request RoutedRequest) RoutedAnswer {
	table := r.table.Load()
	if table == nil {
		return refuseRouted(ReasonNotReady, RetryLaterMillis, "no configuration is in force")
	}
	route, ok := table.Match(request.Message.Host, request.Message.Path())
	if !ok {
		answer := refuseRouted(ReasonUnknownRoute, 0, "no route for host %q", request.Message.Host)
		answer.ConfigurationVersion = table.version
		return answer
	}
	deadline := request.Arrived + route.Timeout
	if request.Deadline != 0 {
		deadline = min(deadline, request.Deadline)
	}
	// The request has waited to be read for about as long as the process is behind.
	lag := r.Lag.Lag()
	deadline -= ReplyMarginMillis + Millis(lag)
	var answer RoutedAnswer
	switch {
	case lag > OverloadRefuseFactor*float64(route.Objective):
		answer = refuseRouted(ReasonOverloaded, RetrySoonMillis, "this instance is %.0f ms behind", lag)
	case r.crashes.convicted(request.fingerprint):
		r.Counters.Add(CountCrashersRefused, 1)
		answer = refuseRouted(ReasonCrashesUpstreams, 0, "requests with fingerprint %s crash upstreams", request.fingerprint)
	case deadline <= r.Clock.Now():
		answer = refuseRouted(ReasonDeadlinePassed, 0, "the deadline has passed")
	case route.Scattered():
		answer = r.scatter(ctx, route, request, deadline)
	default:
		answer = r.forward(ctx, route, request, deadline)
	}
	answer.Route = route.Name
	answer.ConfigurationVersion = table.version
	answer.MoveOn = answer.MoveOn || r.Lag.Overloaded()
	return answer
}

// forward has one upstream of one destination answer the request.
func (r *Router) forward(ctx context.Context, route Route, request RoutedRequest, deadline Millis) RoutedAnswer {
	service := route.pick()
	if r.Fleet.ReachableServices([]string{service}) == 0 {
		answer := refuseRouted(ReasonNoUpstream, RetrySoonMillis, "no upstream of %s can be reached", service)
		answer.Service = service
		return answer
	}
	work, release := r.workContext(ctx)
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
// the caller leaves before release is called, and a while after release.
func (r *Router) workContext(ctx context.Context) (context.Context, func()) {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	return work, func() {
		if !stop() {
			cancel()
			return
		}
		time.AfterFunc(LoserGraceMillis.Duration(), cancel)
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

// finish counts an answer, and writes a line about one that is not whole or late.
func (r *Router) finish(request RoutedRequest, answer RoutedAnswer) {
	elapsed := r.Clock.Since(request.Arrived)
	if r.Observe != nil {
		r.Observe(answer, elapsed)
	}
	facts := []any{"route", answer.Route, "configuration", answer.ConfigurationVersion,
		"attempts", answer.Attempts, "elapsedMillis", int64(elapsed)}
	if answer.Service != "" {
		facts = append(facts, "service", answer.Service)
	}
	if answer.Shards != "" {
		facts = append(facts, "shards", answer.Shards)
	}
	merged, scattered := answer.Merged.Get()
	if answer.Outcome == OutcomeAnswered && merged.Missing == 0 {
		r.crashes.survived(request.fingerprint)
	}
	switch {
	case answer.Outcome == OutcomeNotRun:
		r.Counters.Add(CountRefused, 1)
		r.story(request, "refused", append(facts, "reason", string(answer.Reason), "detail", answer.Detail,
			"retryAfterMillis", int64(answer.RetryAfter), "lagMillis", r.Lag.Lag())...)
	case answer.Outcome != OutcomeAnswered:
		r.Counters.Add(CountUnknown, 1)
		r.story(request, "outcome unknown", append(facts, "reason", string(answer.Reason), "detail", answer.Detail)...)
	case scattered && merged.Missing > 0:
		r.Counters.Add(CountAnswered, 1)
		r.Counters.Add(CountPartial, 1)
		r.story(request, "answered in part", append(facts, "missing", merged.Missing)...)
	default:
		r.Counters.Add(CountAnswered, 1)
		r.Log.V(1).Info("answered", append([]any{"request", request.ID}, facts...)...)
	}
}

// story writes down a decision on a request.
func (r *Router) story(request RoutedRequest, event string, values ...any) {
	r.Log.Info(event, append([]any{"request", request.ID}, values...)...)
}
