package core

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// query is one search or fetch under way.
type query struct {
	engine   *Engine
	request  Request
	admitted admission
	id       string
	asked    RangeSet

	isolation *isolation
	attempts  atomic.Int64
	hedges    atomic.Int64
	// mayHaveRun counts the attempts that an upstream may have run.
	mayHaveRun atomic.Int64
	// congested is set when an upstream refused a part for want of room.
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

// roundResult is what one snapshot gave.
type roundResult struct {
	plan     Plan
	coverage Coverage
	records  []Record
}

// run answers the query at one snapshot, and at another one when the upstreams
// have dropped the first.
func (q *query) run(ctx context.Context) Answer {
	deadline := q.admitted.deadline - MergeMarginMillis
	ctx, cancel := q.engine.Clock.WithDeadline(ctx, deadline)
	defer cancel()
	tried := NewSet[uint64]()
	var best Option[roundResult]
	for range MaxSnapshotRounds {
		plan, ok := q.choose(tried)
		if !ok {
			break
		}
		tried.Add(plan.Snapshot.ID)
		result, dropped := q.round(ctx, plan)
		known, some := best.Get()
		if !some || result.coverage.Covered > known.coverage.Covered {
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

func (q *query) choose(tried Set[uint64]) (Plan, bool) {
	chooser := SnapshotChooser{Serving: q.engine.Fleet.Serving}
	return chooser.Choose(q.admitted.collection, q.asked, tried)
}

// notifyPeers lets the peers know of a suspect before its caller can send it again.
func (q *query) notifyPeers(ctx context.Context) {
	e := q.engine
	limited, cancel := e.Clock.WithDeadline(context.WithoutCancel(ctx), e.Clock.Now()+NotifyTimeoutMillis)
	defer cancel()
	e.NotifyPeers(limited)
}

// round asks every shard at the plan's snapshot. It reports whether the
// snapshot was dropped by a shard and another one can do better.
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
				if errors.Is(s.run(ctx), errSnapshotDropped) && q.canDoBetter(plan) {
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

// canDoBetter reports whether another snapshot is believed to be served whole.
func (q *query) canDoBetter(plan Plan) bool {
	other, ok := q.choose(NewSet(plan.Snapshot.ID))
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

// await returns when the answer can be closed: all shards are in, the kind
// closes early and the coverage suffices, or the deadline has come.
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
	for collector.Fraction() < kind.LeastCoverage {
		select {
		case <-finished:
			return
		case <-ctx.Done():
			return
		case <-collector.Progress():
		}
	}
}

// answer states what is known of the query. Coverage and records come from the
// same closed round.
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
		return q.uncovered(answer)
	}
	answer.Sufficient = result.coverage.Fraction() >= q.admitted.kind.LeastCoverage
	if !answer.Sufficient {
		e.Counters.Add(CountInsufficient, 1)
	}
	if !result.coverage.Whole() {
		e.Counters.Add(CountPartial, 1)
	}
	return answer
}

// uncovered is the answer when no shard gave anything.
func (q *query) uncovered(answer Answer) Answer {
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

// mayHedge takes one of the few hedges of the query.
func (q *query) mayHedge(shards int) bool {
	if q.engine.Policy.NoHedge || q.isolation.restricted() {
		return false
	}
	if q.engine.Gates.Collection(q.admitted.collection.Name).Congested() {
		return false
	}
	most := int64(max(1, shards/ShardsPerHedge))
	if q.hedges.Add(1) > most {
		q.hedges.Add(-1)
		return false
	}
	if !q.engine.Budget.Spend() {
		q.hedges.Add(-1)
		return false
	}
	return true
}

// isolation runs a request that may crash upstreams on one upstream at a time.
type isolation struct {
	engine      *Engine
	fingerprint string

	// turn lets one isolated attempt run at a time.
	turn sync.Mutex

	mu        sync.Mutex
	losses    int
	suspected bool
	guilty    bool
	cleared   bool
}

func newIsolation(e *Engine, fingerprint string, verdict Verdict) *isolation {
	return &isolation{engine: e, fingerprint: fingerprint, suspected: verdict == VerdictSuspect}
}

// lost records a connection that broke while an upstream ran the request.
func (i *isolation) lost() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.losses++
	i.cleared = false
	if i.losses >= SuspectAfterLosses {
		i.suspected = true
		i.engine.Quarantine.Suspect(i.fingerprint)
	}
}

// restricted reports whether further attempts must run isolated.
func (i *isolation) restricted() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.cleared && (i.losses > 0 || i.suspected)
}

// suspect reports whether the request may still be what crashes upstreams.
func (i *isolation) suspect() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.suspected && !i.cleared
}

// want returns what an isolated attempt needs. After a crash, the last replica
// of a service is left alone.
func (i *isolation) want() Want {
	return Want{
		Exclusive: i.restricted(),
		SpareLast: i.engine.Quarantine.Crashes(i.fingerprint) > 0,
	}
}

func (i *isolation) convicted() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guilty
}

// survived records that an isolated attempt did not crash its upstream.
func (i *isolation) survived() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cleared = true
	i.engine.Quarantine.Clear(i.fingerprint)
}

// crashed records that an isolated attempt lost its upstream.
func (i *isolation) crashed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.suspected = true
	if i.engine.Quarantine.Crash(i.fingerprint) == VerdictConvicted && !i.guilty {
		i.guilty = true
		i.engine.Counters.Add(CountConvictions, 1)
	}
}

// admit returns the parts of the plan that may be asked at once. A request that
// was a suspect before runs on one shard alone first; the others follow only if
// it survives there.
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
