package core

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// query is the state of one search or fetch.
type query struct {
	engine   *Engine
	request  Request
	admitted admission
	// id identifies the query to the upstreams.
	id string
	// asked holds the requested positions: the whole key space for a search, that of the key
	// for a fetch.
	asked RangeSet

	isolation *isolation
	attempts  atomic.Int64
	hedges    atomic.Int64
	// mayHaveRun is the number of attempts that an upstream may have run.
	mayHaveRun atomic.Int64
	// congested is set if an upstream refused an attempt for lack of capacity.
	congested atomic.Bool
}

func newQuery(e *Engine, request Request, admitted admission) *query {
	q := &query{engine: e, request: request, admitted: admitted, id: e.NewID()}
	q.asked = NewRangeSet(FullRange())
	if admitted.kind.Mode == ModeFetch {
		position := Position(request.Key)
		q.asked = NewRangeSet(KeyRange{Start: position, End: position + 1})
	}
	q.isolation = newIsolation(e, admitted.fingerprint, admitted.verdict)
	return q
}

// roundResult is the result of one round, at one snapshot.
type roundResult struct {
	plan     Plan
	coverage Coverage
	records  []Record
}

// run answers the query at one snapshot. If the upstreams have dropped that snapshot, it
// starts again at another one, for MaxSnapshotRounds rounds at most, and returns the
// result with the greatest coverage.
func (q *query) run(ctx context.Context) Answer {
	deadline := q.admitted.deadline - MergeMarginMillis
	ctx, cancel := q.engine.Clock.WithDeadline(ctx, deadline)
	defer cancel()
	tried := NewSet[uint64]()
	var best Option[roundResult]
	for range MaxSnapshotRounds {
		plan, ok := q.choosePlan(tried)
		if !ok {
			break
		}
		tried.Add(plan.Snapshot.ID)
		result, dropped := q.round(ctx, plan)
		previous, some := best.Get()
		if !some || result.coverage.Covered > previous.coverage.Covered {
			best = Some(result)
		}
		if !dropped || ctx.Err() != nil {
			break
		}
		q.engine.Counters.Add(CountSnapshotRestarts, 1)
	}
	result, ok := best.Get()
	if !ok {
		return Refuse(q.request.ID, ReasonNoSnapshot, "no upstream in reach serves a published snapshot")
	}
	if q.isolation.suspect() {
		q.notifyPeers(ctx)
	}
	return q.answer(result)
}

// choosePlan returns the plan for the best snapshot that is not in tried, or false if
// there is none.
func (q *query) choosePlan(tried Set[uint64]) (Plan, bool) {
	chooser := SnapshotChooser{Serving: q.engine.Fleet.Serving}
	return chooser.Choose(q.admitted.collection, q.asked, tried)
}

// notifyPeers sends the verdict on a suspect request to the peers before its caller gets
// the answer and can send the request to another instance. It also runs if the caller
// has left.
func (q *query) notifyPeers(ctx context.Context) {
	e := q.engine
	limited, cancel := e.Clock.WithDeadline(context.WithoutCancel(ctx), e.Clock.Now()+NotifyTimeoutMillis)
	defer cancel()
	e.NotifyPeers(limited)
}

// round queries every shard at the plan's snapshot. It returns true if a shard has
// dropped that snapshot and another one is fully served.
func (q *query) round(ctx context.Context, plan Plan) (roundResult, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	collector := NewCollector(q.asked, q.request.SchemaVersions)
	var dropped atomic.Bool
	var tasks errgroup.Group
	finished := make(chan struct{})
	q.engine.Budget.Earn(len(plan.Parts))
	go func() {
		defer close(finished)
		for _, part := range q.isolation.admit(ctx, q, plan, collector) {
			tasks.Go(func() error {
				s := shard{query: q, plan: plan, part: part, collector: collector}
				if errors.Is(s.run(ctx), errSnapshotDropped) && q.otherSnapshotServed(plan) {
					dropped.Store(true)
					cancel()
				}
				return nil
			})
		}
		_ = tasks.Wait()
	}()
	q.await(ctx, collector, finished)
	coverage, records := collector.Close()
	return roundResult{plan: plan, coverage: coverage, records: records}, dropped.Load()
}

// otherSnapshotServed reports whether another snapshot is served by all services that the
// query needs, according to the last status of their replicas.
func (q *query) otherSnapshotServed(plan Plan) bool {
	other, ok := q.choosePlan(NewSet(plan.Snapshot.ID))
	if !ok {
		return false
	}
	for _, part := range other.Parts {
		if !q.engine.Fleet.Serving(part.Service, q.admitted.collection.Name, other.Snapshot.ID) {
			return false
		}
	}
	return true
}

// await returns when the answer can be closed: all shards have finished, the early close
// time of the kind has passed and the coverage is sufficient, or ctx has ended.
func (q *query) await(ctx context.Context, collector *Collector, finished <-chan struct{}) {
	kind := q.admitted.kind
	if kind.CloseAfter == 0 || q.engine.Policy.NoEarlyClose {
		select {
		case <-finished:
		case <-ctx.Done():
		}
		return
	}
	early, cancel := q.engine.Clock.WithDeadline(ctx, q.request.Arrived+kind.CloseAfter)
	defer cancel()
	select {
	case <-finished:
		return
	case <-early.Done():
	}
	for collector.Fraction() < kind.MinCoverage {
		select {
		case <-finished:
			return
		case <-ctx.Done():
			return
		case <-collector.Progress():
		}
	}
}

// answer builds the answer from the result of one round, so that coverage and records
// belong to the same snapshot.
func (q *query) answer(result roundResult) Answer {
	e := q.engine
	answer := Answer{
		Outcome:              OutcomeAnswered,
		ConfigurationVersion: q.admitted.configuration.Version,
		Snapshot:             result.plan.Snapshot.ID,
		Coverage:             result.coverage,
		Records:              result.records,
		Attempts:             int(q.attempts.Load()),
		Shards:               len(result.plan.Parts),
	}
	if result.coverage.Covered == 0 && len(result.coverage.Unreadable) == 0 {
		return q.emptyAnswer(answer)
	}
	answer.Sufficient = result.coverage.Fraction() >= q.admitted.kind.MinCoverage
	if !answer.Sufficient {
		e.Counters.Add(CountInsufficient, 1)
	}
	if !result.coverage.IsComplete() {
		e.Counters.Add(CountPartial, 1)
	}
	return answer
}

// emptyAnswer completes an answer without any coverage. Its outcome is OutcomeNotRun if it
// is certain that no upstream ran an attempt, and OutcomeUnknown otherwise.
func (q *query) emptyAnswer(answer Answer) Answer {
	reason := ReasonTimeout
	detail := "no shard answered in time"
	switch {
	case q.isolation.convicted():
		reason, detail = ReasonCrashesUpstreams, "upstreams were lost while they ran this request"
	case q.congested.Load():
		reason, detail = ReasonOverloaded, "the upstreams have no room"
	case q.mayHaveRun.Load() == 0:
		reason, detail = ReasonNoUpstream, "no upstream could be reached"
	}
	answer.Outcome = OutcomeUnknown
	if q.mayHaveRun.Load() == 0 {
		answer.Outcome = OutcomeNotRun
	}
	answer.Reason = reason
	answer.Detail = detail
	return answer
}

// takeHedge reports whether the query may send one more hedge, and counts it. Hedges are
// limited by the number of shards and by the budget. None are sent while the request must
// run isolated or the collection is congested.
func (q *query) takeHedge(shards int) bool {
	if q.engine.Policy.NoHedge || q.isolation.restricted() {
		return false
	}
	if q.engine.Gates.Collection(q.admitted.collection.Name).Congested() {
		return false
	}
	limit := int64(max(1, shards/ShardsPerHedge))
	if q.hedges.Add(1) > limit {
		q.hedges.Add(-1)
		return false
	}
	if !q.engine.Budget.Spend() {
		q.hedges.Add(-1)
		return false
	}
	return true
}

// isolation makes a request that may crash upstreams run on one upstream at a time, and
// records whether it does crash them.
type isolation struct {
	engine      *Engine
	fingerprint string

	// attemptMu is held during an isolated attempt.
	attemptMu sync.Mutex

	mu        sync.Mutex
	losses    int
	suspected bool
	// isConvicted is set once the crashes of this query have led to a conviction.
	isConvicted bool
	// cleared is set if an isolated attempt survived after the last lost connection.
	cleared bool
}

func newIsolation(e *Engine, fingerprint string, verdict Verdict) *isolation {
	return &isolation{engine: e, fingerprint: fingerprint, suspected: verdict == VerdictSuspect}
}

// lost records that a connection broke while an upstream ran the request. After
// SuspectAfterLosses of them the request is a suspect.
func (i *isolation) lost() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.losses++
	i.cleared = false
	if i.losses >= SuspectAfterLosses {
		i.suspected = true
		i.engine.Quarantine.MarkSuspect(i.fingerprint)
	}
}

// restricted reports whether further attempts must run isolated: the request is a suspect
// or has lost a connection, and no isolated attempt has survived since.
func (i *isolation) restricted() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.cleared && (i.losses > 0 || i.suspected)
}

// suspect reports whether the request is a suspect that no isolated attempt has cleared.
func (i *isolation) suspect() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.suspected && !i.cleared
}

// want returns the requirements for the replica of an isolated attempt. Once the request
// has crashed an upstream, it gets no replica that is the last one in use of its service.
func (i *isolation) want() Want {
	return Want{
		Exclusive:          i.restricted(),
		ExcludeLastReplica: i.engine.Quarantine.Crashes(i.fingerprint) > 0,
	}
}

// convicted reports whether the crashes of this query have led to a conviction.
func (i *isolation) convicted() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isConvicted
}

// survived records that an isolated attempt did not crash its upstream.
func (i *isolation) survived() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cleared = true
	i.engine.Quarantine.MarkCleared(i.fingerprint)
}

// crashed records that an isolated attempt lost its connection. The request is convicted
// after ConvictAfterCrashes of them.
func (i *isolation) crashed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.suspected = true
	if i.engine.Quarantine.RecordIsolatedCrash(i.fingerprint) == VerdictConvicted && !i.isConvicted {
		i.isConvicted = true
		i.engine.Counters.Add(CountConvictions, 1)
	}
}

// admit returns the parts of the plan that may be queried concurrently. A request that
// was already a suspect first runs on one shard alone. The others follow only if it
// survives there.
func (i *isolation) admit(ctx context.Context, q *query, plan Plan, collector *Collector) []PlanPart {
	if !i.restricted() || len(plan.Parts) == 0 {
		return plan.Parts
	}
	first := shard{query: q, plan: plan, part: plan.Parts[0], collector: collector}
	_ = first.run(ctx)
	if i.restricted() {
		return nil
	}
	return plan.Parts[1:]
}
