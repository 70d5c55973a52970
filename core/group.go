package core

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
)

// ErrGroupRefused means that an instance does not gather shards for another one now.
var ErrGroupRefused = errors.New("group of shards refused")

// GroupRequest has another instance gather some shards of a request: those that have
// replicas in its availability zone, so that one message crosses zones in place of many.
type GroupRequest struct {
	DelegatedRequest
	// Shards are the positions of the shards in the route's list, ascending.
	Shards []int
	// ReportAfter is when the parts that are in by then are reported. What comes later is
	// reported each GroupReportMillis, and at once when all is known.
	ReportAfter Millis
}

// GroupReport is a number of parts of a group, or word that some will not come. Each shard
// of the group is in one report.
type GroupReport struct {
	// Shards are the positions of the shards whose parts are in, ascending, and Signatures
	// those of the parts. Records are the greatest records of all of them.
	Shards     []int
	Signatures []string
	Records    []byte
	// Failed and NotRun are the positions of the shards that will have no part. For those in
	// NotRun it is certain that no upstream ran the request.
	Failed []int
	NotRun []int
}

// GroupClient has other instances gather groups of shards.
type GroupClient interface {
	// Gather calls take with each report until the group is done. Its errors wrap
	// ErrNotDelivered where the other instance certainly did nothing, and ErrGroupRefused
	// where it said so.
	Gather(ctx context.Context, address string, request GroupRequest, take func(GroupReport)) error
}

// shardGroup is a group of shards that another instance gathers.
type shardGroup struct {
	to     PeerInfo
	shards []int
	// open are the positions that no report has named yet.
	open Set[int]
	sent Millis
}

// expects reports whether every shard of a report is one that is to be reported yet.
func (g *shardGroup) expects(report GroupReport) bool {
	named := slices.Concat(report.Shards, report.Failed, report.NotRun)
	distinct := NewSet(named...)
	return len(distinct) == len(named) && !slices.ContainsFunc(named, func(shard int) bool { return !g.open.Has(shard) })
}

// groupEvent is a report on a group, or its end.
type groupEvent struct {
	group  *shardGroup
	report GroupReport
	ended  bool
	err    error
}

// planGroups divides the shards that have no good replica in this zone among instances of
// other zones, as few as possible. Of the others it leaves to this instance as many as one
// may have, and divides the rest among those of its zone. What is in no group is asked
// directly.
func (r *Router) planGroups(route Route) []*shardGroup {
	if r.GroupClient == nil || route.Objective < GroupLeastObjective || len(route.Shards) < GroupLeastShards {
		return nil
	}
	gatherers := r.Choice.Gatherers()
	groups := r.remoteGroups(route, gatherers)
	grouped := NewSet[int]()
	for _, group := range groups {
		for _, shard := range group.shards {
			grouped.Add(shard)
		}
	}
	var rest []int
	for shard := range route.Shards {
		if !grouped.Has(shard) {
			rest = append(rest, shard)
		}
	}
	own := gatherers[r.Fleet.Zone()]
	if parts := min(len(own)+1, divide(len(rest), GroupMostShards)); parts > 1 {
		groups = append(groups, splitGroup(rest[len(rest)/parts:], own, parts-1)...)
	}
	return groups
}

// remoteGroups returns the groups of shards for instances of other zones.
func (r *Router) remoteGroups(route Route, gatherers map[string][]PeerInfo) []*shardGroup {
	zones := r.Fleet.RemoteZones(route.Shards)
	var groups []*shardGroup
	for len(zones) >= GroupLeastShards {
		zone, shards := widestZone(zones, gatherers)
		if len(shards) < GroupLeastShards {
			break
		}
		parts := min(len(gatherers[zone]), divide(len(shards), GroupMostShards))
		groups = append(groups, splitGroup(shards, gatherers[zone], parts)...)
		for _, shard := range shards {
			delete(zones, shard)
		}
	}
	return groups
}

// divide returns how many parts of a size hold all.
func divide(all, size int) int {
	return (all + size - 1) / size
}

// splitGroup divides shards among a number of the instances, drawn anew.
func splitGroup(shards []int, instances []PeerInfo, parts int) []*shardGroup {
	order := rand.Perm(len(instances))
	var groups []*shardGroup
	for part := range parts {
		share := shards[part*len(shards)/parts : (part+1)*len(shards)/parts]
		groups = append(groups, &shardGroup{to: instances[order[part]], shards: share, open: NewSet(share...)})
	}
	return groups
}

// widestZone returns the zone with an instance to ask in which most of the shards have
// replicas, and these shards.
func widestZone(zones map[int][]string, gatherers map[string][]PeerInfo) (string, []int) {
	byZone := map[string][]int{}
	for shard, names := range zones {
		for _, name := range names {
			if len(gatherers[name]) > 0 {
				byZone[name] = append(byZone[name], shard)
			}
		}
	}
	widest := ""
	for name, shards := range byZone {
		if size := len(shards) - len(byZone[widest]); size > 0 || (size == 0 && name < widest) {
			widest = name
		}
	}
	slices.Sort(byZone[widest])
	return widest, byZone[widest]
}

// AnswerGroup gathers shards for another instance. ctx ends when that one does not wait any
// more. It fails with ErrGroupRefused before anything was sent.
func (r *Router) AnswerGroup(ctx context.Context, group GroupRequest, report func(GroupReport) error) error {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	request := r.received(group.DelegatedRequest)
	route, err := r.groupRoute(ctx, group, request)
	if err != nil {
		return err
	}
	r.Counters.Add(CountGroupsHere, 1)
	work, release := r.workContext(ctx, request.Deadline)
	defer release()
	s := &scatter{router: r, route: route, request: request, deadline: request.Deadline}
	waiting, cancel := r.Clock.WithDeadline(work, request.Deadline)
	defer cancel()
	results := s.startGuests(waiting, work, group.Shards)
	return s.reportGroup(waiting, group, results, report)
}

// groupRoute returns the route of a group's request, for as many attempts as are not left to
// the instance that asks.
func (r *Router) groupRoute(ctx context.Context, group GroupRequest, request RoutedRequest) (Route, error) {
	if err := r.Pause.Await(ctx); err != nil {
		return Route{}, fmt.Errorf("%w: %w", ErrGroupRefused, err)
	}
	table := r.table.Load()
	_, settling := r.Choice.Settling().Get()
	switch {
	case table == nil || table.version != group.ConfigurationVersion:
		return Route{}, fmt.Errorf("%w: another configuration is in force", ErrGroupRefused)
	case settling || len(r.Choice.Delegates()) > 0:
		return Route{}, fmt.Errorf("%w: this instance does not send requests to upstreams", ErrGroupRefused)
	case r.Lag.Lag() >= ReliefLagMillis:
		return Route{}, fmt.Errorf("%w: this instance is behind", ErrGroupRefused)
	case r.crashes.convicted(request.fingerprint):
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
	route.MaxAttempts = groupAttempts(route)
	return route, nil
}

// groupAttempts returns how many of a route's attempts at a shard are made by the instance
// that gathers it for another one. That one keeps the rest for shards that are late.
func groupAttempts(route Route) int {
	return max(1, route.MaxAttempts-1)
}

// startGuests asks the shards of a group. The instance that has them gathered accounts for
// the requests.
func (s *scatter) startGuests(waiting, work context.Context, shards []int) <-chan shardResult {
	results := make(chan shardResult, len(shards))
	patience := s.router.roomPatience(s.route, s.deadline)
	for _, shard := range shards {
		d := s.newDispatch(work, shard, patience)
		d.earned = true
		go func() {
			reply, failure := d.run(waiting)
			results <- shardResult{shard: shard, dispatch: d, reply: reply, failure: failure}
		}()
	}
	return results
}

// reportGroup reports the parts that are in at the time that was asked for, later ones from
// time to time, and the last one at once.
func (s *scatter) reportGroup(ctx context.Context, group GroupRequest, results <-chan shardResult, report func(GroupReport) error) error {
	due := s.router.Clock.After(group.ReportAfter)
	batch := &groupBatch{}
	reporting := false
	for pending := len(group.Shards); pending > 0; {
		select {
		case result := <-results:
			pending--
			batch.add(result)
		case <-due:
			reporting = true
		case <-ctx.Done():
			return ctx.Err()
		}
		if batch.size() == 0 || (pending > 0 && (!reporting || len(results) > 0)) {
			continue
		}
		if err := report(batch.report(s.route.Top)); err != nil {
			return err
		}
		batch, reporting = &groupBatch{}, false
		due = s.router.Clock.After(GroupReportMillis)
	}
	return nil
}

// groupBatch is what goes into the next report.
type groupBatch struct {
	in     []shardResult
	failed []int
	notRun []int
}

func (b *groupBatch) add(result shardResult) {
	switch {
	case result.failure == nil:
		b.in = append(b.in, result)
	case result.dispatch.runs == 0:
		b.notRun = append(b.notRun, result.shard)
	default:
		b.failed = append(b.failed, result.shard)
	}
}

func (b *groupBatch) size() int { return len(b.in) + len(b.failed) + len(b.notRun) }

func (b *groupBatch) report(top int) GroupReport {
	slices.SortFunc(b.in, func(x, y shardResult) int { return x.shard - y.shard })
	slices.Sort(b.failed)
	slices.Sort(b.notRun)
	report := GroupReport{Failed: b.failed, NotRun: b.notRun}
	var parts []Part
	for _, result := range b.in {
		report.Shards = append(report.Shards, result.shard)
		report.Signatures = append(report.Signatures, result.reply.Signature)
		parts = append(parts, Part{Records: result.reply.Body})
	}
	report.Records = MergeTop(parts, top)
	return report
}
