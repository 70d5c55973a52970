package core

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// ErrGroupRefused means that an instance currently does not gather shards for another one.
var ErrGroupRefused = errors.New("group of shards refused")

// GroupRequest asks another instance to send a request to some of its shards and to report
// their replies. These are shards with replicas in that instance's availability zone, so that
// one message crosses zones instead of many, or a part of a request with very many shards.
type GroupRequest struct {
	DelegatedRequest
	// Shards are the positions of the shards in the route's list, in ascending order.
	Shards []int
	// ReportAfter is the time until the first report. Later reports are at least
	// GroupReportMillis apart, except that the last one is sent as soon as all shards have
	// replied or failed.
	ReportAfter Millis
}

// GroupReport contains the parts of some shards of a group, and the shards that failed. Each
// shard of the group is in exactly one report.
type GroupReport struct {
	// Shards are the positions of the shards that replied, in ascending order, and Signatures
	// the signatures of their replies. Records are the greatest records of all of them.
	Shards     []int
	Signatures []string
	Records    []byte
	// Failed and NotRun are the positions of the shards without a reply. For those in NotRun
	// it is certain that no upstream ran the request.
	Failed []int
	NotRun []int
}

// GroupClient sends groups of shards to other instances, which gather them.
type GroupClient interface {
	// Gather calls receive with each report until the group is done. Its errors wrap
	// ErrNotDelivered if the request certainly did not reach the other instance, and
	// ErrGroupRefused if that instance refused it.
	Gather(ctx context.Context, address string, request GroupRequest, receive func(GroupReport)) error
}

// shardGroup is a group of shards that another instance gathers.
type shardGroup struct {
	gatherer PeerInfo
	shards   []int
	// unreported are the positions that no report has named yet.
	unreported Set[int]
	// sent is when the group was sent to the gatherer.
	sent Millis
}

// expects reports whether a report names only unreported shards of the group, each once.
func (g *shardGroup) expects(report GroupReport) bool {
	named := slices.Concat(report.Shards, report.Failed, report.NotRun)
	distinct := NewSet(named...)
	return len(distinct) == len(named) && !slices.ContainsFunc(named, func(shard int) bool { return !g.unreported.Has(shard) })
}

// groupEvent is a report on a group, or the end of its reports, with the error if it failed.
type groupEvent struct {
	group  *shardGroup
	report GroupReport
	ended  bool
	err    error
}

// planGroups assigns the shards whose best replica is in another zone to as few instances of
// other zones as possible. It divides the remaining shards evenly among this instance and
// others of its zone, so that each has at most MaxGroupShards if the zone has enough
// instances. This instance sends the request directly to all shards that are in no group. A
// route with few shards or a short objective has no groups.
func (r *Router) planGroups(route Route) []*shardGroup {
	if r.GroupClient == nil || route.Objective < MinGroupObjectiveMillis || len(route.Shards) < MinGroupShards {
		return nil
	}
	gatherers := r.Delegation.Gatherers()
	groups := r.remoteGroups(route, gatherers)
	grouped := NewSet[int]()
	for _, group := range groups {
		for _, shard := range group.shards {
			grouped.Add(shard)
		}
	}
	var remaining []int
	for shard := range route.Shards {
		if !grouped.Has(shard) {
			remaining = append(remaining, shard)
		}
	}
	local := gatherers[r.Fleet.Zone()]
	if count := min(len(local)+1, ceilDiv(len(remaining), MaxGroupShards)); count > 1 {
		groups = append(groups, splitShards(remaining[len(remaining)/count:], local, count-1)...)
	}
	return groups
}

// remoteGroups returns the groups that instances of other zones gather.
func (r *Router) remoteGroups(route Route, gatherers map[string][]PeerInfo) []*shardGroup {
	zones := r.Fleet.RemoteZones(route.Shards)
	var groups []*shardGroup
	for len(zones) >= MinGroupShards {
		zone, shards := zoneWithMostShards(zones, gatherers)
		if len(shards) < MinGroupShards {
			break
		}
		count := min(len(gatherers[zone]), ceilDiv(len(shards), MaxGroupShards))
		groups = append(groups, splitShards(shards, gatherers[zone], count)...)
		for _, shard := range shards {
			delete(zones, shard)
		}
	}
	return groups
}

// ceilDiv returns n divided by divisor, rounded up.
func ceilDiv(n, divisor int) int {
	return (n + divisor - 1) / divisor
}

// splitShards divides the shards evenly among count of the instances, which it picks at
// random.
func splitShards(shards []int, instances []PeerInfo, count int) []*shardGroup {
	order := rand.Perm(len(instances))
	var groups []*shardGroup
	for i := range count {
		share := shards[i*len(shards)/count : (i+1)*len(shards)/count]
		groups = append(groups, &shardGroup{gatherer: instances[order[i]], shards: share, unreported: NewSet(share...)})
	}
	return groups
}

// zoneWithMostShards returns the zone in which the largest number of shards have replicas,
// and the positions of these shards. Zones without a gatherer are left out.
func zoneWithMostShards(zones map[int][]string, gatherers map[string][]PeerInfo) (string, []int) {
	byZone := map[string][]int{}
	for shard, names := range zones {
		for _, name := range names {
			if len(gatherers[name]) > 0 {
				byZone[name] = append(byZone[name], shard)
			}
		}
	}
	largest := ""
	for name, shards := range byZone {
		if diff := len(shards) - len(byZone[largest]); diff > 0 || (diff == 0 && name < largest) {
			largest = name
		}
	}
	slices.Sort(byZone[largest])
	return largest, byZone[largest]
}

// AnswerGroup gathers shards for another instance. ctx ends when that instance stops waiting.
// If it returns ErrGroupRefused, nothing was sent to an upstream.
func (r *Router) AnswerGroup(ctx context.Context, group GroupRequest, report func(GroupReport) error) error {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	request := r.toLocalRequest(group.DelegatedRequest)
	route, err := r.groupRoute(ctx, group, request)
	if err != nil {
		return err
	}
	r.Counters.Add(CountGroupsHere, 1)
	attemptCtx, release := r.attemptContext(ctx, request.Deadline)
	defer release()
	s := &scatterGather{router: r, route: route, request: request, deadline: request.Deadline}
	waitCtx, cancel := r.Clock.WithDeadline(attemptCtx, request.Deadline)
	defer cancel()
	results := s.startGroupDispatches(waitCtx, attemptCtx, group.Shards)
	return s.reportGroup(waitCtx, group, results, report)
}

// groupRoute returns the route of a group's request, with MaxAttempts lowered to the
// gatherer's attempts. Its errors wrap ErrGroupRefused.
func (r *Router) groupRoute(ctx context.Context, group GroupRequest, request RoutedRequest) (Route, error) {
	if err := r.Pause.Await(ctx); err != nil {
		return Route{}, fmt.Errorf("%w: %w", ErrGroupRefused, err)
	}
	table := r.table.Load()
	_, warmingUp := r.Delegation.WarmupEnd().Get()
	switch {
	case table == nil || table.version != group.ConfigurationVersion:
		return Route{}, fmt.Errorf("%w: another configuration is in force", ErrGroupRefused)
	case warmingUp || len(r.Delegation.Delegates()) > 0:
		return Route{}, fmt.Errorf("%w: this instance does not send requests to upstreams", ErrGroupRefused)
	case r.Shutdown.Refusing():
		return Route{}, fmt.Errorf("%w: this instance is stopping", ErrGroupRefused)
	case r.Lag.Lag() >= OffloadLagMillis:
		return Route{}, fmt.Errorf("%w: this instance is behind", ErrGroupRefused)
	case r.crashes.convicted(request):
		return Route{}, fmt.Errorf("%w: the request crashes upstreams", ErrGroupRefused)
	}
	route, ok := table.Match(request.Message.Host, request.Message.Path())
	if !ok || !route.Scattered() {
		return Route{}, fmt.Errorf("%w: no such route", ErrGroupRefused)
	}
	for _, shard := range group.Shards {
		if shard < 0 || shard >= len(route.Shards) {
			return Route{}, fmt.Errorf("%w: no shard %d", ErrGroupRefused, shard)
		}
	}
	route.MaxAttempts = gathererAttempts(route)
	return route, nil
}

// gathererAttempts returns how many of a route's attempts at a shard the gatherer may make.
// The instance that sent the group keeps one for late and failed shards, if the route allows
// more than one.
func gathererAttempts(route Route) int {
	return max(1, route.MaxAttempts-1)
}

// startGroupDispatches sends the request to the shards of a group. The instance that sent
// the group has recorded the requests in its retry budget, so they are not recorded in this
// instance's.
func (s *scatterGather) startGroupDispatches(waitCtx, attemptCtx context.Context, shards []int) <-chan shardResult {
	results := make(chan shardResult, len(shards))
	queueDeadline := s.router.queueDeadline(s.route, s.deadline)
	for _, shard := range shards {
		d := s.newDispatch(attemptCtx, shard, queueDeadline)
		d.recorded = true
		go func() {
			reply, failure := d.run(waitCtx)
			results <- shardResult{shard: shard, dispatch: d, reply: reply, failure: failure}
		}()
	}
	return results
}

// reportGroup sends the first report after group.ReportAfter and further ones at least
// GroupReportMillis apart. It sends the last one as soon as all shards have replied or
// failed, and sends no empty reports.
func (s *scatterGather) reportGroup(ctx context.Context, group GroupRequest, results <-chan shardResult, report func(GroupReport) error) error {
	reportDue := s.router.Clock.After(group.ReportAfter)
	batch := &reportBatch{}
	isDue := false
	for pending := len(group.Shards); pending > 0; {
		select {
		case result := <-results:
			pending--
			batch.add(result)
		case <-reportDue:
			isDue = true
		case <-ctx.Done():
			return ctx.Err()
		}
		if batch.size() == 0 || (pending > 0 && (!isDue || len(results) > 0)) {
			continue
		}
		next, parts := batch.report(s.route.TopK)
		s.logReport(next, parts)
		if err := report(next); err != nil {
			return err
		}
		batch, isDue = &reportBatch{}, false
		reportDue = s.router.Clock.After(GroupReportMillis)
	}
	return nil
}

// reportBatch holds the results that go into the next report.
type reportBatch struct {
	replies []shardResult
	failed  []int
	notRun  []int
}

func (b *reportBatch) add(result shardResult) {
	switch {
	case result.failure == nil:
		b.replies = append(b.replies, result)
	case result.dispatch.possibleRuns == 0:
		b.notRun = append(b.notRun, result.shard)
	default:
		b.failed = append(b.failed, result.shard)
	}
}

func (b *reportBatch) size() int { return len(b.replies) + len(b.failed) + len(b.notRun) }

// report returns the report and the parts that it contains.
func (b *reportBatch) report(topK int) (GroupReport, []Part) {
	slices.SortFunc(b.replies, func(x, y shardResult) int { return x.shard - y.shard })
	slices.Sort(b.failed)
	slices.Sort(b.notRun)
	report := GroupReport{Failed: b.failed, NotRun: b.notRun}
	parts := make([]Part, 0, len(b.replies))
	for _, result := range b.replies {
		report.Shards = append(report.Shards, result.shard)
		report.Signatures = append(report.Signatures, result.reply.Signature)
		parts = append(parts, result.part())
	}
	report.Records = MergeTop(parts, topK)
	return report, parts
}
