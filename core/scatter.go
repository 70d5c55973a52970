package core

import (
	"context"
	"errors"
	"slices"
	"strings"
)

// scatterGather holds the state of one request that is sent to all shards of a route and
// whose replies are merged.
type scatterGather struct {
	router   *Router
	route    Route
	request  RoutedRequest
	deadline Millis
	// version is the version of the configuration that contains the route.
	version uint64
	// waitCtx ends the wait for parts. attemptCtx is the context of the attempts.
	waitCtx    context.Context
	attemptCtx context.Context

	// results receives the result of each dispatch, groupEvents the reports on shard groups.
	results     chan shardResult
	groupEvents chan groupEvent
	groups      []*shardGroup

	// parts are the replies of the shards in answered.
	parts    []Part
	answered Set[string]
	// pendingSources counts, by position of the shard, the dispatches and groups that may
	// still deliver its part.
	pendingSources []int
	dispatches     []*dispatch
	failedShards   int
	// rejected is PartCounts.Rejected.
	rejected int
	// arrivals counts the attempts that may have reached an upstream, and possibleRuns those
	// that an upstream may have run.
	arrivals     int
	possibleRuns int
	lastFailure  *AttemptError
}

// shardResult is the result of the dispatch to one shard.
type shardResult struct {
	shard    int
	dispatch *dispatch
	reply    RoutedReply
	failure  *AttemptError
}

// scatter sends the request to all shards of the route and merges their replies.
func (r *Router) scatter(ctx context.Context, g *activeRequest) RoutedAnswer {
	route, deadline := g.route, g.deadline
	needed := route.MinShards()
	if reachable := r.Fleet.ReachableServices(route.Shards); reachable < needed {
		answer := refuseRouted(ReasonNoUpstream, RetrySoonMillis,
			"%d of %d shards can be reached, %d are needed", reachable, len(route.Shards), needed)
		answer.MissingShards = r.unreachableShards(route.Shards)
		return answer
	}
	attemptCtx, release := r.attemptContext(ctx, deadline)
	defer release()
	waitCtx, cancel := r.Clock.WithDeadline(attemptCtx, deadline)
	defer cancel()
	s := newScatterGather(g)
	s.waitCtx, s.attemptCtx = waitCtx, attemptCtx
	s.start()
	s.collect(waitCtx)
	return s.buildAnswer()
}

func newScatterGather(g *activeRequest) *scatterGather {
	shards := len(g.route.Shards)
	return &scatterGather{
		router: g.router, route: g.route, request: g.request, deadline: g.deadline, version: g.table.version,
		parts: make([]Part, 0, shards), answered: NewSet[string](), pendingSources: make([]int, shards), dispatches: make([]*dispatch, shards),
	}
}

// start sends the request to every shard, to some of them through other instances.
func (s *scatterGather) start() {
	s.groups = s.router.planGroups(s.route)
	grouped := NewSet[int]()
	for _, group := range s.groups {
		for _, shard := range group.shards {
			grouped.Add(shard)
			s.pendingSources[shard]++
			s.router.RetryBudget.Earn(s.route.Shards[shard])
		}
	}
	// results has room for one dispatch per shard, since shards of a group may be dispatched,
	// too. groupEvents has room for the valid reports, each of which names at least one
	// shard, and for the end of each group.
	s.results = make(chan shardResult, len(s.route.Shards))
	s.groupEvents = make(chan groupEvent, len(grouped)+len(s.groups))
	for _, group := range s.groups {
		s.startGroup(group)
	}
	queueDeadline := s.router.queueDeadline(s.route, s.deadline)
	for shard := range s.route.Shards {
		if !grouped.Has(shard) {
			s.startDispatch(shard, s.newDispatch(s.attemptCtx, shard, queueDeadline))
		}
	}
}

func (s *scatterGather) newDispatch(attemptCtx context.Context, shard int, queueDeadline Millis) *dispatch {
	return &dispatch{
		router: s.router, route: s.route, request: s.request, service: s.route.Shards[shard], deadline: s.deadline,
		queueDeadline: queueDeadline, attemptCtx: attemptCtx,
	}
}

func (s *scatterGather) startDispatch(shard int, d *dispatch) {
	s.pendingSources[shard]++
	s.dispatches[shard] = d
	go func() {
		reply, failure := d.run(s.waitCtx)
		s.results <- shardResult{shard: shard, dispatch: d, reply: reply, failure: failure}
	}()
}

// startGroup sends a group of shards to the instance that gathers it.
func (s *scatterGather) startGroup(group *shardGroup) {
	clock := s.router.Clock
	group.sent = clock.Now()
	request := GroupRequest{
		DelegatedRequest: DelegatedRequest{
			Request:              s.request,
			ConfigurationVersion: s.version,
			Elapsed:              group.sent - s.request.Arrived,
			Remaining:            s.deadline - group.sent,
		},
		Shards:      group.shards,
		ReportAfter: s.router.latencies.hedgeAfter(s.route),
	}
	s.router.Counters.Add(CountGroups, 1)
	send := func(event groupEvent) {
		select {
		case s.groupEvents <- event:
		case <-s.attemptCtx.Done():
		}
	}
	go func() {
		err := s.router.GroupClient.Gather(s.attemptCtx, group.gatherer.Address, request, func(report GroupReport) {
			send(groupEvent{group: group, report: report})
		})
		send(groupEvent{group: group, ended: true, err: err})
	}()
}

// softDeadline returns the time from which an answer with enough shards is closed without
// waiting for the others.
func (s *scatterGather) softDeadline() Millis {
	return min(s.deadline, s.request.Arrived+s.route.Objective-CloseMarginMillis)
}

// collect receives parts until the answer can be closed: all shards have replied or
// failed, too many have failed, enough have replied and the soft deadline has passed, or ctx
// has ended.
func (s *scatterGather) collect(ctx context.Context) {
	clock := s.router.Clock
	needed := s.route.MinShards()
	softDeadlineDue := clock.After(s.softDeadline() - clock.Now())
	hedgeDue := clock.After(s.router.latencies.hedgeAfter(s.route) + GroupLateDelayMillis)
	silenceDue := clock.After(s.router.latencies.hedgeAfter(s.route) + GroupSilentDelayMillis)
	pastSoftDeadline := false
	for len(s.parts)+s.failedShards < len(s.route.Shards) {
		select {
		case result := <-s.results:
			s.handleResult(result)
		case event := <-s.groupEvents:
			s.handleGroupEvent(event)
		case <-hedgeDue:
			s.hedgeGroups(false)
		case <-silenceDue:
			s.hedgeGroups(true)
		case <-softDeadlineDue:
			pastSoftDeadline = true
		case <-ctx.Done():
			return
		}
		if pastSoftDeadline && len(s.parts) >= needed {
			return
		}
		if s.failedShards > len(s.route.Shards)-needed {
			return
		}
	}
}

// handleResult adds the part of a shard that was requested directly. It is ignored if a report
// on a group already contained the part.
func (s *scatterGather) handleResult(result shardResult) {
	s.arrivals += result.dispatch.arrivals
	s.possibleRuns += result.dispatch.possibleRuns
	s.rejected += result.dispatch.rejected
	service := result.dispatch.service
	switch {
	case s.answered.Has(service):
	case result.failure != nil:
		s.lastFailure = result.failure
		s.removeSource(result.shard)
	default:
		s.answered.Add(service)
		s.parts = append(s.parts, result.part())
	}
}

// removeSource records that a dispatch or group ended without the part of a shard. The
// shard has failed when this was its last source.
func (s *scatterGather) removeSource(shard int) {
	s.pendingSources[shard]--
	if s.pendingSources[shard] == 0 && !s.answered.Has(s.route.Shards[shard]) {
		s.failedShards++
	}
}

// handleGroupEvent processes a report on a group, or its end. A report with a shard that
// is not outstanding is ignored.
func (s *scatterGather) handleGroupEvent(event groupEvent) {
	group, report := event.group, event.report
	switch {
	case event.ended:
		s.handleGroupEnd(group, event.err)
		return
	case !group.expects(report):
		s.router.logEvent(s.request, "group report refused", "delegate", group.gatherer.Name)
		return
	}
	s.addReport(group, report)
	executed := len(report.Shards) + len(report.Failed)
	s.arrivals += executed + len(report.NotRun)
	s.possibleRuns += executed
	s.rejected += len(report.Failed)
	for _, shard := range report.Shards {
		delete(group.unreported, shard)
	}
	for _, shard := range slices.Concat(report.Failed, report.NotRun) {
		delete(group.unreported, shard)
		s.lastFailure = &AttemptError{Kind: FailureLost, Detail: s.route.Shards[shard] + " gathered by " + group.gatherer.Name}
		s.requestDirectly(group, shard, 1)
		s.removeSource(shard)
	}
}

// addReport adds the parts of a report. Its records are merged and can't be split by shard,
// so the report replaces any part of its shards that was received directly.
func (s *scatterGather) addReport(group *shardGroup, report GroupReport) {
	records := report.Records
	for i, shard := range report.Shards {
		service := s.route.Shards[shard]
		if s.answered.Has(service) {
			s.parts = slices.DeleteFunc(s.parts, func(p Part) bool { return p.Service == service })
		}
		s.answered.Add(service)
		s.parts = append(s.parts, Part{
			Service: service, Signature: report.Signatures[i], Records: records, Sender: group.gatherer.Name, Source: SourceGroup,
		})
		records = nil
	}
}

// handleGroupEnd sends the request directly to the shards that no report has named. If the
// group was not delivered or was refused, none of their attempts are used up.
func (s *scatterGather) handleGroupEnd(group *shardGroup, err error) {
	notStarted := errors.Is(err, ErrNotDelivered) || errors.Is(err, ErrGroupRefused)
	switch {
	case errors.Is(err, ErrGroupRefused):
		s.router.Delegation.MarkOverloaded(group.gatherer.Address)
	case err != nil && s.attemptCtx.Err() == nil:
		s.router.Delegation.DelegateFailed(group.gatherer.Address, err)
	}
	s.lastFailure = &AttemptError{Kind: FailureLost, Detail: "group at " + group.gatherer.Name, Cause: err}
	if err != nil && len(group.unreported) > 0 {
		s.router.logEvent(s.request, "group request failed", "delegate", group.gatherer.Name, "unreported", len(group.unreported), "detail", err.Error())
	}
	queueDeadline := s.router.queueDeadline(s.route, s.deadline)
	for shard := range group.unreported {
		switch {
		case notStarted && !s.answered.Has(s.route.Shards[shard]) && s.dispatches[shard] == nil:
			d := s.newDispatch(s.attemptCtx, shard, queueDeadline)
			d.recorded = true
			s.startDispatch(shard, d)
		case !notStarted:
			s.arrivals++
			s.possibleRuns++
			s.requestDirectly(group, shard, 1)
		}
		s.removeSource(shard)
	}
	group.unreported = nil
}

// hedgeGroups sends the request directly to the outstanding shards of groups. If unresponsive
// is false, it does so for the groups with a report. If it is true, it does so for those
// without any, and checks that their instances respond.
func (s *scatterGather) hedgeGroups(unresponsive bool) {
	for _, group := range s.groups {
		if (len(group.unreported) == len(group.shards)) != unresponsive {
			continue
		}
		if unresponsive {
			go s.router.Delegation.Responds(s.attemptCtx, group.gatherer.Address, group.sent)
		}
		for shard := range group.unreported {
			s.requestDirectly(group, shard, HedgeBudgetFraction)
		}
	}
}

// requestDirectly sends the request to a shard of a group, if an attempt is left for it and
// the retry budget permits it. budgetFraction is the part of the budget, from 0 to 1, that
// repeats may have used up afterwards.
func (s *scatterGather) requestDirectly(group *shardGroup, shard int, budgetFraction float64) {
	attemptsLeft := s.route.MaxAttempts - gathererAttempts(s.route)
	service := s.route.Shards[shard]
	if attemptsLeft < 1 || s.dispatches[shard] != nil || s.answered.Has(service) {
		return
	}
	if !s.router.RetryBudget.Spend(service, budgetFraction) {
		return
	}
	d := s.newDispatch(s.attemptCtx, shard, s.router.queueDeadline(s.route, s.deadline))
	d.recorded, d.besideGroup = true, true
	d.avoid = s.router.Fleet.UpstreamsInZone(service, group.gatherer.Zone)
	d.route.MaxAttempts = attemptsLeft
	s.router.Counters.Add(CountHedges, 1)
	s.startDispatch(shard, d)
}

// maxNamedShards is the maximum number of missing shards named in a log line.
const maxNamedShards = 5

// unreachableShards returns the names of up to maxNamedShards services without a reachable
// upstream, separated by spaces.
func (r *Router) unreachableShards(services []string) string {
	var names []string
	for _, service := range services {
		if len(names) < maxNamedShards && r.Fleet.ReachableServices([]string{service}) == 0 {
			names = append(names, service+":unreachable")
		}
	}
	return strings.Join(names, " ")
}

// missingShards returns the names of up to maxNamedShards shards without a part, and "..." if
// there are more. The suffix of a name says whether the request was sent to an upstream or to
// another instance, or still waits for a free slot at an upstream.
func (s *scatterGather) missingShards() []string {
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

// buildAnswer returns the answer for the parts that were received.
func (s *scatterGather) buildAnswer() RoutedAnswer {
	missing := len(s.route.Shards) - len(s.parts)
	if len(s.parts) >= s.route.MinShards() {
		signatures := make([]string, len(s.parts))
		for i, part := range s.parts {
			signatures[i] = part.Signature
		}
		slices.Sort(signatures)
		s.router.logParts(s.request, s.parts)
		return RoutedAnswer{
			Parts:         s.countParts(),
			Outcome:       OutcomeAnswered,
			Merged:        Some(MergedReply{Signatures: signatures, Missing: missing, Records: MergeTop(s.parts, s.route.TopK)}),
			MissingShards: strings.Join(s.missingShards(), " "),
			Attempts:      s.arrivals,
		}
	}
	s.router.Counters.Add(CountInsufficient, 1)
	pending := len(s.route.Shards) - len(s.parts) - s.failedShards
	if s.possibleRuns == 0 && pending == 0 {
		retryAfter := RetryLaterMillis
		if limitWait(s.lastFailure) > 0 {
			s.router.Counters.Add(CountLimited, 1)
			retryAfter = retryAfterLimit(s.lastFailure)
		}
		answer := refuseRouted(ReasonOverloaded, retryAfter, "no shard ran the request: %v", s.lastFailure)
		answer.Attempts = s.arrivals
		return answer
	}
	answer := RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonTimeout, Attempts: s.arrivals, CloseConnection: true}
	answer.MissingShards = strings.Join(s.missingShards(), " ")
	answer.Detail = "too few shards answered in time"
	if pending == 0 || s.failedShards > 0 {
		answer.Reason = ReasonConnectionLost
		answer.Detail = "too many shards failed: " + s.lastFailure.Error()
	}
	return answer
}
