package core

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

var (
	errSnapshotDropped = errors.New("no replica of the shard serves the snapshot any more")
	errShardFailed     = errors.New("the shard returned no complete reply")
)

// shard runs the part of a query that one service answers.
type shard struct {
	query     *query
	plan      Plan
	part      PlanPart
	collector *Collector

	// exclude names the replicas that failed or made no progress. They get no more attempts.
	exclude Set[string]
	// avoid names the replicas whose replies were truncated. They are used again if there is
	// no other replica.
	avoid Set[string]
	// dropped is set if a replica did not have the snapshot.
	dropped bool
}

// attemptResult is the outcome of one attempt: a reply, or a failure.
type attemptResult struct {
	permit  *Permit
	hedge   bool
	reply   SearchReply
	failure *AttemptError
}

// run sends attempts until the shard's ranges are covered, MaxAttemptsPerShard at most.
// Each attempt asks only for the ranges that are still missing.
func (s *shard) run(ctx context.Context) error {
	s.exclude = NewSet[string]()
	s.avoid = NewSet[string]()
	missing := NewRangeSet(s.part.Ranges...)
	for number := range MaxAttemptsPerShard {
		if number > 0 {
			s.query.engine.Counters.Add(CountRetries, 1)
		}
		result, err := s.attempt(ctx, missing.Ranges())
		if errors.Is(err, ErrNoReplica) && len(s.avoid) > 0 {
			clear(s.avoid)
			continue
		}
		if err != nil {
			return s.finalError(err)
		}
		if result.failure == nil {
			s.collector.Add(missing.Ranges(), result.reply)
			remaining := missing.Subtract(NewRangeSet(result.reply.Covered...))
			if remaining.Size() == 0 {
				return nil
			}
			s.noteTruncated(result, remaining.Size() < missing.Size())
			missing = remaining
			continue
		}
		if !s.mayRetry(ctx, number, result) {
			return s.finalError(errShardFailed)
		}
	}
	return s.finalError(errShardFailed)
}

// noteTruncated records a reply that does not cover all requested ranges. The rest is
// requested from another replica, if there is one. A replica whose reply made no progress
// is not used again.
func (s *shard) noteTruncated(result attemptResult, progressed bool) {
	name := result.permit.Target().Name
	if progressed {
		s.avoid.Add(name)
		return
	}
	s.exclude.Add(name)
}

// finalError returns errSnapshotDropped if a replica did not have the snapshot, and err
// otherwise.
func (s *shard) finalError(err error) error {
	if s.dropped {
		return errSnapshotDropped
	}
	return err
}

// mayRetry reports whether the shard may send another attempt after a failure. It may
// sleep before it returns true. After a timeout no time is left for another attempt.
func (s *shard) mayRetry(ctx context.Context, number int, result attemptResult) bool {
	if ctx.Err() != nil || s.query.isolation.convicted() {
		return false
	}
	switch result.failure.Kind {
	case FailureNoSnapshot:
		s.dropped = true
		return true
	case FailureNotRun:
		return s.retryShed(ctx, number, result)
	case FailureTimeout:
		return false
	}
	s.exclude.Add(result.permit.Target().Name)
	return true
}

// retryShed reports whether an attempt that was refused for lack of capacity may be sent
// again: at once if the budget allows it, otherwise after an exponential backoff with
// jitter.
func (s *shard) retryShed(ctx context.Context, number int, result attemptResult) bool {
	if s.query.engine.Budget.Spend() {
		return true
	}
	pause := ShedPauseMillis << number
	pause += Millis(rand.Int64N(int64(pause) + 1))
	return s.query.engine.Clock.Sleep(ctx, pause) == nil
}

// attempt sends one attempt, and a hedge if it is slow. It returns the first complete
// reply, or the last failure.
func (s *shard) attempt(ctx context.Context, ranges []KeyRange) (attemptResult, error) {
	if s.query.isolation.restricted() {
		return s.attemptIsolated(ctx, ranges)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	permit, err := s.acquire(ctx, Want{})
	if err != nil {
		return attemptResult{}, err
	}
	results := make(chan attemptResult, 2)
	go func() { results <- s.send(ctx, permit, ranges, false) }()
	hedge := s.hedgeTimer()
	running := 1
	if explorer := s.explore(ctx, permit); explorer != nil {
		running++
		go func() { results <- s.send(ctx, explorer, ranges, true) }()
		hedge = nil
	}
	for {
		select {
		case result := <-results:
			running--
			if result.failure == nil {
				return result, nil
			}
			s.recordFailure(result)
			if running == 0 {
				return result, nil
			}
		case <-hedge:
			permit.RecordSlow()
			if second := s.hedge(ctx, permit); second != nil {
				running++
				go func() { results <- s.send(ctx, second, ranges, true) }()
			}
		case <-ctx.Done():
			return attemptResult{}, ctx.Err()
		}
	}
}

// hedgeTimer returns a channel that receives when a hedge is due, or nil while too few
// latencies of the service are known.
func (s *shard) hedgeTimer() <-chan time.Time {
	delay, known := s.query.engine.Fleet.HedgeDelay(s.part.Service).Get()
	if !known {
		return nil
	}
	return s.query.engine.Clock.After(delay)
}

// hedge returns a permit for a second attempt, or nil if the query may not send one or no
// other replica has a free slot.
func (s *shard) hedge(ctx context.Context, first *Permit) *Permit {
	if !s.query.takeHedge(len(s.plan.Parts)) {
		return nil
	}
	second, err := s.acquire(ctx, Want{Exclude: s.excludedWith(first), NoWait: true})
	if err != nil {
		s.query.engine.Budget.Refund()
		return nil
	}
	s.query.engine.Counters.Add(CountHedges, 1)
	return second
}

// explore returns a permit for a second attempt at a replica that has not been used for
// ExploreIntervalMillis, or nil. This detects that a slow replica has recovered while no
// request depends on its reply.
func (s *shard) explore(ctx context.Context, first *Permit) *Permit {
	want := s.want(Want{Exclude: s.excludedWith(first)})
	permit := s.query.engine.Fleet.Explore(want)
	if permit == nil {
		return nil
	}
	if !s.query.takeHedge(len(s.plan.Parts)) || s.query.engine.Pause.Await(ctx) != nil || !permit.Sendable() {
		permit.Release()
		return nil
	}
	return permit
}

// excludedWith returns the replicas that a second attempt must not use: the first one,
// those that failed and those with truncated replies.
func (s *shard) excludedWith(first *Permit) Set[string] {
	return NewSet(first.Target().Name).Union(s.exclude).Union(s.avoid)
}

// attemptIsolated sends one attempt while no other isolated attempt of the query runs, to
// an upstream that runs nothing else for this instance. A lost connection is then due to
// this request.
func (s *shard) attemptIsolated(ctx context.Context, ranges []KeyRange) (attemptResult, error) {
	isolation := s.query.isolation
	isolation.attemptMu.Lock()
	defer isolation.attemptMu.Unlock()
	if isolation.convicted() {
		return attemptResult{}, errShardFailed
	}
	permit, err := s.acquire(ctx, isolation.want())
	if err != nil {
		return attemptResult{}, err
	}
	result := s.send(ctx, permit, ranges, false)
	if result.failure == nil {
		isolation.survived()
		return result, nil
	}
	s.recordFailure(result)
	if result.failure.Kind == FailureLost {
		isolation.crashed()
	}
	return result, nil
}

// acquire waits for a permit for a replica of the shard that serves the snapshot and may
// be sent new work.
func (s *shard) acquire(ctx context.Context, want Want) (*Permit, error) {
	return s.query.engine.acquireSendable(ctx, s.want(want))
}

// want adds to want the service, the snapshot, the priority and, unless set, the excluded
// replicas of the shard.
func (s *shard) want(want Want) Want {
	want.Service = s.part.Service
	want.Kind = s.query.admitted.kind.Name
	want.Collection = s.query.admitted.collection.Name
	want.Snapshot = s.plan.Snapshot.ID
	want.Priority = s.query.admitted.kind.Priority
	if want.Exclude == nil {
		want.Exclude = s.exclude.Union(s.avoid)
	}
	return want
}

// acquireSendable waits for a permit for an upstream that may be sent new work. If the
// process was suspended, it first waits until the view of the fleet is refreshed.
func (e *Engine) acquireSendable(ctx context.Context, want Want) (*Permit, error) {
	for {
		permit, err := e.Fleet.Acquire(ctx, want)
		if err != nil {
			return nil, err
		}
		if err := e.Pause.Await(ctx); err != nil {
			permit.Release()
			return nil, err
		}
		if permit.Sendable() {
			return permit, nil
		}
		permit.Release()
	}
}

// send sends one attempt and reports its result to the permit. hedge is set for an extra
// attempt that runs beside a first one.
func (s *shard) send(ctx context.Context, permit *Permit, ranges []KeyRange, hedge bool) attemptResult {
	q := s.query
	q.attempts.Add(1)
	q.mayHaveRun.Add(1)
	q.engine.Counters.Add(CountAttempts, 1)
	reply, err := q.engine.Client.Search(ctx, permit.Target(), SearchAttempt{
		QueryID:    q.id,
		AttemptID:  q.engine.NewID(),
		Collection: q.admitted.collection.Name,
		Kind:       q.admitted.kind.Name,
		Key:        q.request.Key,
		Body:       q.request.Body,
		Snapshot:   s.plan.Snapshot.ID,
		Ranges:     ranges,
		Deadline:   q.admitted.deadline - 2*MergeMarginMillis,
		Confirm:    permit.confirm(q.engine.Pause),
	})
	result := attemptResult{permit: permit, hedge: hedge, reply: reply}
	if err != nil {
		result.failure = attemptFailure(err)
		if result.failure.ProvesNotRun() {
			q.mayHaveRun.Add(-1)
		}
		permit.Fail(result.failure)
		return result
	}
	if hedge {
		q.engine.Counters.Add(CountHedgeWins, 1)
	}
	permit.Succeed(reply.Status)
	return result
}

// recordFailure counts a failure and notes whether it shows a possible crash or congestion.
func (s *shard) recordFailure(result attemptResult) {
	counters := s.query.engine.Counters
	switch result.failure.Kind {
	case FailureLost:
		counters.Add(CountLostConnections, 1)
		if !result.permit.want.Exclusive {
			s.query.isolation.lost()
		}
	case FailureNotRun:
		counters.Add(CountShedByUpstream, 1)
		s.query.congested.Store(true)
	case FailureBadReply:
		counters.Add(CountBadReplies, 1)
	}
}
