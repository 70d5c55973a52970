package core

import (
	"context"
	"math/rand/v2"
	"strings"
)

// refuseConvicted refuses a request that was found to crash upstreams. The caller is asked to wait
// until the request may be tried again.
func (r *Router) refuseConvicted(request RoutedRequest) RoutedAnswer {
	r.Counters.Add(CountCrashingRequestsRefused, 1)
	var retryAfter Millis
	if due, ok := r.crashes.trialDue(request).Get(); ok {
		retryAfter = max(RetrySoonMillis, due-r.Clock.Now())
	}
	return refuseRouted(ReasonCrashesUpstreams, retryAfter, "requests with fingerprint %s crash upstreams",
		strings.Join(r.crashes.convictions(request), " and "))
}

// trialDue reports whether a convicted request may be tried again now.
func (r *Router) trialDue(request RoutedRequest) bool {
	due, ok := r.crashes.trialDue(request).Get()
	return ok && r.Clock.Now() >= due
}

// try runs a convicted request once, on an upstream that runs nothing else for this instance. If
// that upstream replies, the conviction ends. A scattered request is tried at one shard, and sent to
// all of them afterwards.
func (g *activeRequest) try(ctx context.Context) RoutedAnswer {
	r := g.router
	fingerprints := strings.Join(r.crashes.convictions(g.request), " ")
	if !r.crashes.beginTrial(g.request) {
		return r.refuseConvicted(g.request)
	}
	r.Counters.Add(CountVerdictTrials, 1)
	r.logEvent(g.request, "trial of a convicted request", "fingerprints", fingerprints, "route", g.route.Name)
	route := g.route
	route.MaxAttempts = 1
	if !route.Scattered() {
		return r.forward(ctx, route, g.request, g.deadline, true)
	}
	if refusal, ok := g.tryShard(ctx, route).Get(); ok {
		return refusal
	}
	return r.scatter(ctx, g)
}

// tryShard sends the request to one shard of the route. It returns an answer unless the shard has
// replied.
func (g *activeRequest) tryShard(ctx context.Context, route Route) Option[RoutedAnswer] {
	r := g.router
	shard := route.Shards[rand.IntN(len(route.Shards))]
	// The shard gets the request again with all others, which makes it a repeat.
	if !r.RetryBudget.Spend(shard, 1) {
		return Some(r.refuseConvicted(g.request))
	}
	attemptCtx, release := r.attemptContext(ctx, g.deadline)
	defer release()
	waitCtx, cancel := r.Clock.WithDeadline(attemptCtx, g.deadline)
	defer cancel()
	d := &dispatch{
		router: r, route: route, request: g.request, service: shard, deadline: g.deadline,
		queueDeadline: r.queueDeadline(route, g.deadline), attemptCtx: attemptCtx, recorded: true, isolated: true,
	}
	_, failure := d.run(waitCtx)
	switch {
	case failure == nil:
		return None[RoutedAnswer]()
	case d.possibleRuns == 0:
		return Some(r.refuseConvicted(g.request))
	}
	return Some(RoutedAnswer{
		Outcome: OutcomeUnknown, Reason: ReasonConnectionLost, Detail: "trial at " + shard + ": " + failure.Error(), Attempts: d.arrivals,
	})
}
