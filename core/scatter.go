package core

import (
	"context"
	"errors"
	"slices"
	"strings"
)

// scatter is one request that all shards of a route answer.
type scatter struct {
	router   *Router
	route    Route
	request  RoutedRequest
	deadline Millis
	// version is the configuration that the route is of.
	version uint64
	// waiting ends the wait for parts, work carries the attempts.
	waiting context.Context
	work    context.Context

	// results are the ends of dispatches, and events what is heard of groups.
	results chan shardResult
	events  chan groupEvent
	groups  []*shardGroup

	parts    []Part
	answered Set[string]
	// sources counts what may yet bring the part of a shard, by its position.
	sources    []int
	dispatches []*dispatch
	failed     int
	arrivals   int
	runs       int
	last       *AttemptError
}

// shardResult is the end of one shard's dispatch.
type shardResult struct {
	shard    int
	dispatch *dispatch
	reply    RoutedReply
	failure  *AttemptError
}

// scatter has all shards of the route answer the request and merges their parts.
func (r *Router) scatter(ctx context.Context, g *routing) RoutedAnswer {
	route, deadline := g.route, g.deadline
	least := route.LeastShards()
	if reachable := r.Fleet.ReachableServices(route.Shards); reachable < least {
		answer := refuseRouted(ReasonNoUpstream, RetrySoonMillis,
			"%d of %d shards can be reached, %d are needed", reachable, len(route.Shards), least)
		answer.Shards = r.unreachable(route.Shards)
		return answer
	}
	work, release := r.workContext(ctx, deadline)
	defer release()
	waiting, cancel := r.Clock.WithDeadline(work, deadline)
	defer cancel()
	s := newScatter(g)
	s.waiting, s.work = waiting, work
	s.start()
	s.gather(waiting)
	return s.conclude()
}

func newScatter(g *routing) *scatter {
	shards := len(g.route.Shards)
	return &scatter{
		router: g.router, route: g.route, request: g.request, deadline: g.deadline, version: g.table.version,
		answered: NewSet[string](), sources: make([]int, shards), dispatches: make([]*dispatch, shards),
	}
}

// start asks every shard, some of them through other instances.
func (s *scatter) start() {
	s.groups = s.router.planGroups(s.route)
	grouped := NewSet[int]()
	for _, group := range s.groups {
		for _, shard := range group.shards {
			grouped.Add(shard)
			s.sources[shard]++
			s.router.Allowance.Earn(s.route.Shards[shard])
		}
	}
	// A shard of a group may have a dispatch besides. Each report names at least one shard,
	// and a group ends once.
	s.results = make(chan shardResult, len(s.route.Shards))
	s.events = make(chan groupEvent, len(grouped)+len(s.groups))
	for _, group := range s.groups {
		s.startGroup(group)
	}
	patience := s.router.roomPatience(s.route, s.deadline)
	for shard := range s.route.Shards {
		if !grouped.Has(shard) {
			s.startDispatch(shard, s.newDispatch(s.work, shard, patience))
		}
	}
}

func (s *scatter) newDispatch(work context.Context, shard int, patience Millis) *dispatch {
	return &dispatch{
		router: s.router, route: s.route, request: s.request, service: s.route.Shards[shard], deadline: s.deadline,
		patience: patience, work: work,
	}
}

func (s *scatter) startDispatch(shard int, d *dispatch) {
	s.sources[shard]++
	s.dispatches[shard] = d
	go func() {
		reply, failure := d.run(s.waiting)
		s.results <- shardResult{shard: shard, dispatch: d, reply: reply, failure: failure}
	}()
}

// startGroup has another instance gather the shards of a group.
func (s *scatter) startGroup(group *shardGroup) {
	clock := s.router.Clock
	group.sent = clock.Now()
	request := GroupRequest{
		DelegatedRequest: DelegatedRequest{
			Request:              s.request,
			ConfigurationVersion: s.version,
			Elapsed:              group.sent - s.request.Arrived,
			Left:                 s.deadline - group.sent,
		},
		Shards:      group.shards,
		ReportAfter: s.router.paces.hedgeAfter(s.route),
	}
	s.router.Counters.Add(CountGroups, 1)
	tell := func(event groupEvent) {
		select {
		case s.events <- event:
		case <-s.work.Done():
		}
	}
	go func() {
		err := s.router.GroupClient.Gather(s.work, group.to.Address, request, func(report GroupReport) {
			tell(groupEvent{group: group, report: report})
		})
		tell(groupEvent{group: group, ended: true, err: err})
	}()
}

// closeAt returns when an answer that has enough shards does without the others.
func (s *scatter) closeAt() Millis {
	return min(s.deadline, s.request.Arrived+s.route.Objective-CloseMarginMillis)
}

// gather collects parts until the answer can be closed: all shards are in or have
// failed, too many have failed, enough are in and the objective is near, or the
// deadline has come.
func (s *scatter) gather(ctx context.Context) {
	clock := s.router.Clock
	least := s.route.LeastShards()
	objective := clock.After(s.closeAt() - clock.Now())
	late := clock.After(s.router.paces.hedgeAfter(s.route) + GroupHopMillis)
	silent := clock.After(s.router.paces.hedgeAfter(s.route) + GroupPatienceMillis)
	closing := false
	for len(s.parts)+s.failed < len(s.route.Shards) {
		select {
		case result := <-s.results:
			s.take(result)
		case event := <-s.events:
			s.hear(event)
		case <-late:
			s.backUpGroups(false)
		case <-silent:
			s.backUpGroups(true)
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
	service := result.dispatch.service
	switch {
	case s.answered.Has(service):
	case result.failure != nil:
		s.last = result.failure
		s.sourceEnded(result.shard)
	default:
		s.answered.Add(service)
		s.parts = append(s.parts, Part{Service: service, Signature: result.reply.Signature, Records: result.reply.Body})
	}
}

// sourceEnded takes in that one of the sources of a shard ended without its part.
func (s *scatter) sourceEnded(shard int) {
	s.sources[shard]--
	if s.sources[shard] == 0 && !s.answered.Has(s.route.Shards[shard]) {
		s.failed++
	}
}

// hear takes in what another instance says of its group.
func (s *scatter) hear(event groupEvent) {
	group, report := event.group, event.report
	switch {
	case event.ended:
		s.groupEnded(group, event.err)
		return
	case !group.expects(report):
		s.router.story(s.request, "group report refused", "delegate", group.to.Name)
		return
	}
	s.takeReport(report)
	ran := len(report.Shards) + len(report.Failed)
	s.arrivals += ran + len(report.NotRun)
	s.runs += ran
	for _, shard := range report.Shards {
		delete(group.open, shard)
	}
	for _, shard := range slices.Concat(report.Failed, report.NotRun) {
		delete(group.open, shard)
		s.last = &AttemptError{Kind: FailureLost, Detail: s.route.Shards[shard] + " gathered by " + group.to.Name}
		s.backUp(group, shard, 1)
		s.sourceEnded(shard)
	}
}

// takeReport adds the parts of a report. Its records can't be told apart by shard, so a part
// that has come otherwise gives way to the report's.
func (s *scatter) takeReport(report GroupReport) {
	records := report.Records
	for i, shard := range report.Shards {
		service := s.route.Shards[shard]
		if s.answered.Has(service) {
			s.parts = slices.DeleteFunc(s.parts, func(p Part) bool { return p.Service == service })
		}
		s.answered.Add(service)
		s.parts = append(s.parts, Part{Service: service, Signature: report.Signatures[i], Records: records})
		records = nil
	}
}

// groupEnded asks the shards that no report has named. A group that was not delivered has
// cost none of their attempts.
func (s *scatter) groupEnded(group *shardGroup, err error) {
	untouched := errors.Is(err, ErrNotDelivered) || errors.Is(err, ErrGroupRefused)
	switch {
	case errors.Is(err, ErrGroupRefused):
		s.router.Choice.Busy(group.to.Address)
	case err != nil && s.work.Err() == nil:
		s.router.Choice.DelegateFailed(group.to.Address, err)
	}
	s.last = &AttemptError{Kind: FailureLost, Detail: "group at " + group.to.Name, Cause: err}
	if err != nil && len(group.open) > 0 {
		s.router.story(s.request, "group failed", "delegate", group.to.Name, "shards", len(group.open), "detail", err.Error())
	}
	patience := s.router.roomPatience(s.route, s.deadline)
	for shard := range group.open {
		switch {
		case untouched && !s.answered.Has(s.route.Shards[shard]) && s.dispatches[shard] == nil:
			d := s.newDispatch(s.work, shard, patience)
			d.earned = true
			s.startDispatch(shard, d)
		case !untouched:
			s.arrivals++
			s.runs++
			s.backUp(group, shard, 1)
		}
		s.sourceEnded(shard)
	}
	group.open = nil
}

// backUpGroups asks the late shards of groups that were reported on, or those of groups that
// were not, and whether an instance is there that has reported nothing.
func (s *scatter) backUpGroups(silent bool) {
	for _, group := range s.groups {
		if (len(group.open) == len(group.shards)) != silent {
			continue
		}
		if silent {
			go s.router.Choice.Responds(s.work, group.to.Address, group.sent)
		}
		for shard := range group.open {
			s.backUp(group, shard, HedgePart)
		}
	}
}

// backUp asks a shard of a group directly, if it has an attempt left and a repeat is
// allowed. part is the part of the allowance that this may exhaust.
func (s *scatter) backUp(group *shardGroup, shard int, part float64) {
	left := s.route.MaxAttempts - groupAttempts(s.route)
	service := s.route.Shards[shard]
	if left < 1 || s.dispatches[shard] != nil || s.answered.Has(service) {
		return
	}
	if !s.router.Allowance.Spend(service, part) {
		return
	}
	d := s.newDispatch(s.work, shard, s.router.roomPatience(s.route, s.deadline))
	d.earned = true
	d.avoid = s.router.Fleet.InZone(service, group.to.Zone)
	d.route.MaxAttempts = left
	s.router.Counters.Add(CountHedges, 1)
	s.startDispatch(shard, d)
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

// missing names shards that are not in, and whether an upstream, or another instance, was
// given the request for them.
func (s *scatter) missing() []string {
	var names []string
	for shard, service := range s.route.Shards {
		if s.answered.Has(service) {
			continue
		}
		if len(names) == maxNamedShards {
			return append(names, "...")
		}
		state := ":waiting"
		switch d := s.dispatches[shard]; {
		case d == nil:
			state = ":grouped"
		case d.sent.Load():
			state = ":sent"
		}
		names = append(names, service+state)
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
