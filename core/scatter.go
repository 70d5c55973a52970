package core

import (
	"context"
	"slices"
	"strings"
)

// scatter is one request that all shards of a route answer.
type scatter struct {
	router   *Router
	route    Route
	request  RoutedRequest
	deadline Millis

	dispatches []*dispatch
	parts      []Part
	answered   Set[string]
	failed     int
	arrivals   int
	runs       int
	last       *AttemptError
}

// shardResult is the end of one shard's dispatch.
type shardResult struct {
	dispatch *dispatch
	reply    RoutedReply
	failure  *AttemptError
}

// scatter has all shards of the route answer the request and merges their parts.
func (r *Router) scatter(ctx context.Context, route Route, request RoutedRequest, deadline Millis) RoutedAnswer {
	least := route.LeastShards()
	if reachable := r.Fleet.ReachableServices(route.Shards); reachable < least {
		answer := refuseRouted(ReasonNoUpstream, RetrySoonMillis,
			"%d of %d shards can be reached, %d are needed", reachable, len(route.Shards), least)
		answer.Shards = r.unreachable(route.Shards)
		return answer
	}
	s := &scatter{router: r, route: route, request: request, deadline: deadline, answered: NewSet[string]()}
	work, release := r.workContext(ctx, deadline)
	defer release()
	waiting, cancel := r.Clock.WithDeadline(work, deadline)
	defer cancel()
	results := s.start(waiting, work)
	s.gather(waiting, results)
	return s.conclude()
}

// start asks every shard.
func (s *scatter) start(waiting, work context.Context) <-chan shardResult {
	results := make(chan shardResult, len(s.route.Shards))
	patience := s.router.roomPatience(s.route, s.deadline)
	for _, service := range s.route.Shards {
		d := &dispatch{
			router: s.router, route: s.route, request: s.request, service: service, deadline: s.deadline,
			patience: patience, work: work,
		}
		s.dispatches = append(s.dispatches, d)
		go func() {
			reply, failure := d.run(waiting)
			results <- shardResult{dispatch: d, reply: reply, failure: failure}
		}()
	}
	return results
}

// closeAt returns when an answer that has enough shards does without the others.
func (s *scatter) closeAt() Millis {
	return min(s.deadline, s.request.Arrived+s.route.Objective-CloseMarginMillis)
}

// gather collects parts until the answer can be closed: all shards are in or have
// failed, too many have failed, enough are in and the objective is near, or the
// deadline has come.
func (s *scatter) gather(ctx context.Context, results <-chan shardResult) {
	clock := s.router.Clock
	least := s.route.LeastShards()
	objective := clock.After(s.closeAt() - clock.Now())
	closing := false
	for len(s.parts)+s.failed < len(s.route.Shards) {
		select {
		case result := <-results:
			s.take(result)
		case <-objective:
			closing = true
		case <-ctx.Done():
			return
		}
		if closing && len(s.parts) >= least {
			return
		}
		if s.failed > len(s.route.Shards)-least {
			return
		}
	}
}

func (s *scatter) take(result shardResult) {
	s.arrivals += result.dispatch.arrivals
	s.runs += result.dispatch.runs
	if result.failure != nil {
		s.failed++
		s.last = result.failure
		return
	}
	s.answered.Add(result.dispatch.service)
	s.parts = append(s.parts, Part{
		Service:   result.dispatch.service,
		Signature: result.reply.Signature,
		Records:   result.reply.Body,
	})
}

// maxNamedShards bounds how many missing shards are named in a log line.
const maxNamedShards = 5

// unreachable names some of the services that have no upstream in reach.
func (r *Router) unreachable(services []string) string {
	var names []string
	for _, service := range services {
		if len(names) < maxNamedShards && r.Fleet.ReachableServices([]string{service}) == 0 {
			names = append(names, service+":unreachable")
		}
	}
	return strings.Join(names, " ")
}

// missing names shards that are not in, and whether an upstream was given the
// request for them.
func (s *scatter) missing() []string {
	var names []string
	for _, d := range s.dispatches {
		if s.answered.Has(d.service) {
			continue
		}
		if len(names) == maxNamedShards {
			return append(names, "...")
		}
		state := ":waiting"
		if d.sent.Load() {
			state = ":sent"
		}
		names = append(names, d.service+state)
	}
	return names
}

// conclude returns the answer that follows from the parts that are in.
func (s *scatter) conclude() RoutedAnswer {
	missing := len(s.route.Shards) - len(s.parts)
	if len(s.parts) >= s.route.LeastShards() {
		signatures := make([]string, len(s.parts))
		for i, part := range s.parts {
			signatures[i] = part.Signature
		}
		slices.Sort(signatures)
		return RoutedAnswer{
			Outcome:  OutcomeAnswered,
			Merged:   Some(MergedReply{Signatures: signatures, Missing: missing, Records: MergeTop(s.parts, s.route.Top)}),
			Shards:   strings.Join(s.missing(), " "),
			Attempts: s.arrivals,
		}
	}
	s.router.Counters.Add(CountInsufficient, 1)
	pending := len(s.route.Shards) - len(s.parts) - s.failed
	if s.runs == 0 && pending == 0 {
		answer := refuseRouted(ReasonOverloaded, RetryLaterMillis, "no shard ran the request: %v", s.last)
		answer.Attempts = s.arrivals
		return answer
	}
	answer := RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonTimeout, Attempts: s.arrivals, MoveOn: true}
	answer.Shards = strings.Join(s.missing(), " ")
	answer.Detail = "too few shards answered in time"
	if pending == 0 || s.failed > 0 {
		answer.Reason = ReasonConnectionLost
		answer.Detail = "too many shards failed: " + s.last.Error()
	}
	return answer
}
