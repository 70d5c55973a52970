package core

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

var (
	errSnapshotDropped = errors.New("no replica of the shard serves the snapshot any more")
	errShardFailed     = errors.New("the shard gave no whole reply")
)

// shard is the part of a query that one service answers.
type shard struct {
	query     *query
	plan      Plan
	part      PlanPart
	collector *Collector

	// exclude are replicas that failed, avoid those whose replies were truncated.
	exclude Set[string]
	avoid   Set[string]
	dropped bool
}

// attemptResult is the end of one attempt.
type attemptResult struct {
	permit  *Permit
	hedge   bool
	reply   SearchReply
	failure *AttemptError
}

// run sends attempts until the shard's ranges are covered. Each attempt asks
// only for what is still missing.
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
			return s.failed(err)
		}
		if result.failure == nil {
			s.collector.Add(missing.Ranges(), result.reply)
			rest := missing.Subtract(NewRangeSet(result.reply.Covered...))
			if rest.Size() == 0 {
				return nil
			}
			s.truncated(result, rest.Size() < missing.Size())
			missing = rest
			continue
		}
		if !s.mayRetry(ctx, number, result) {
			return s.failed(errShardFailed)
		}
	}
	return s.failed(errShardFailed)
}

// truncated notes a reply that does not cover all that was asked. The rest is
// asked of another replica, if there is one.
func (s *shard) truncated(result attemptResult, progress bool) {
	name := result.permit.Target().Name
	if progress {
		s.avoid.Add(name)
		return
	}
	s.exclude.Add(name)
}

func (s *shard) failed(err error) error {
	if s.dropped {
		return errSnapshotDropped
	}
	return err
}

// mayRetry reports whether the shard may send another attempt after a failure.
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

// retryShed sends a refused attempt again: elsewhere at once within the budget,
// else after a pause.
func (s *shard) retryShed(ctx context.Context, number int, result attemptResult) bool {
	if s.query.engine.Budget.Spend() {
		return true
	}
	pause := ShedPauseMillis << number
	pause += Millis(rand.Int64N(int64(pause) + 1))
	return s.query.engine.Clock.Sleep(ctx, pause) == nil
}

// attempt sends one attempt, with a hedge when it is slow, and returns the
// first whole reply or the last failure.
func (s *shard) attempt(ctx context.Context, ranges []KeyRange) (attemptResult, error) {
	if s.query.isolation.restricted() {
		return s.isolated(ctx, ranges)
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
			s.record(result)
			if running == 0 {
				return result, nil
			}
		case <-hedge:
			permit.Slow()
			if second := s.hedge(ctx, permit); second != nil {
				running++
				go func() { results <- s.send(ctx, second, ranges, true) }()
			}
		case <-ctx.Done():
			return attemptResult{}, ctx.Err()
		}
	}
}

// hedgeTimer returns a channel that signals when a hedge is due, or nil while
// too little is known of the service.
func (s *shard) hedgeTimer() <-chan time.Time {
	delay, known := s.query.engine.Fleet.HedgeDelay(s.part.Service).Get()
	if !known {
		return nil
	}
	return s.query.engine.Clock.After(delay)
}

// hedge returns a permit for a second attempt, or nil when there is no budget
// or no room.
func (s *shard) hedge(ctx context.Context, first *Permit) *Permit {
	if !s.query.mayHedge(len(s.plan.Parts)) {
		return nil
	}
	second, err := s.acquire(ctx, Want{Exclude: s.excluding(first), NoWait: true})
	if err != nil {
		s.query.engine.Budget.Refund()
		return nil
	}
	s.query.engine.Counters.Add(CountHedges, 1)
	return second
}

// explore returns a permit for a second attempt at a replica that has not been
// used for a while, so that a slow one is found to have recovered without any
// request waiting for it.
func (s *shard) explore(ctx context.Context, first *Permit) *Permit {
	want := s.want(Want{Exclude: s.excluding(first)})
	permit := s.query.engine.Fleet.Explore(want)
	if permit == nil {
		return nil
	}
	if !s.query.mayHedge(len(s.plan.Parts)) || s.query.engine.Pause.Await(ctx) != nil || !permit.Sendable() {
		permit.Release()
		return nil
	}
	return permit
}

func (s *shard) excluding(first *Permit) Set[string] {
	return NewSet(first.Target().Name).Union(s.exclude).Union(s.avoid)
}

// isolated sends one attempt while no other isolated attempt of the query runs,
// to an upstream that runs nothing else for this instance.
func (s *shard) isolated(ctx context.Context, ranges []KeyRange) (attemptResult, error) {
	isolation := s.query.isolation
	isolation.turn.Lock()
	defer isolation.turn.Unlock()
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
	s.record(result)
	if result.failure.Kind == FailureLost {
		isolation.crashed()
	}
	return result, nil
}

// acquire waits for a replica of the shard that serves the snapshot and may be
// given new work at this moment.
func (s *shard) acquire(ctx context.Context, want Want) (*Permit, error) {
	return s.query.engine.acquireSendable(ctx, s.want(want))
}

// want fills in which replicas can serve the shard.
func (s *shard) want(want Want) Want {
	want.Service = s.part.Service
	want.Collection = s.query.admitted.collection.Name
	want.Snapshot = s.plan.Snapshot.ID
	want.Priority = s.query.admitted.kind.Priority
	if want.Exclude == nil {
		want.Exclude = s.exclude.Union(s.avoid)
	}
	return want
}

// acquireSendable returns a permit for an upstream that may be given new work
// now. The view is renewed first if the process was suspended.
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

// send makes one request and settles its permit.
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

// record notes what a failure says about the request and the upstreams.
func (s *shard) record(result attemptResult) {
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
