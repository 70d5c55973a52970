package core

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"
)

// dispatch sends one routed request to the upstreams of one service until one of
// them has answered. It hedges slow attempts and retries failed ones at another
// upstream.
type dispatch struct {
	router   *Router
	route    Route
	request  RoutedRequest
	service  string
	deadline Millis
	// queueDeadline is when the wait for a free slot at an upstream ends.
	queueDeadline Millis
	// attemptCtx is the context of the attempts. It may end some time after the dispatch,
	// so that a late reply can still be read and its connection kept.
	attemptCtx context.Context
	// recorded is set if the request is already recorded in the RetryBudget.
	recorded bool
	// avoid holds upstreams that another instance has probably tried.
	avoid Set[string]
	// besideGroup is set if the shard is in a group, too.
	besideGroup bool
	// isolated is set if the request must run on an upstream that runs nothing else for this instance.
	isolated bool

	// exclude holds the upstreams of avoid and those at which an attempt has failed.
	exclude Set[string]
	// failed holds the excluded upstreams at which an attempt failed other than by
	// FailureNotRun. The others may be tried again after a pause.
	failed  Set[string]
	running map[*Permit]struct{}
	// hedged is the attempt that was sent beside a late one, and used the one whose result is
	// returned.
	hedged, used *Permit
	// arrivals counts the attempts that may have reached an upstream, and possibleRuns
	// those that an upstream may have run.
	arrivals     int
	possibleRuns int
	// rejected counts the replies that were rejected and may have run.
	rejected int
	results  chan routedResult
	// sent is set once an attempt has been started. Unlike the fields above, it may
	// be read while the dispatch runs.
	sent atomic.Bool
	// closed is set when run returns. Results that arrive later are only recorded.
	closed atomic.Bool
}

// routedResult is the result of one attempt.
type routedResult struct {
	permit  *Permit
	reply   RoutedReply
	failure *AttemptError
}

// run returns the first complete reply, or the last failure. The wait for a reply ends
// with ctx. A reply that is returned with a failure is the upstream's error response.
func (d *dispatch) run(ctx context.Context) (RoutedReply, *AttemptError) {
	d.exclude = d.avoid.Union(nil)
	d.failed = NewSet[string]()
	d.running = map[*Permit]struct{}{}
	d.results = make(chan routedResult, MaxArrivals+1)
	defer d.close()
	if !d.recorded {
		d.router.RetryBudget.Earn(d.service)
	}
	if failure := d.start(ctx, Want{}); failure != nil {
		return RoutedReply{}, failure
	}
	clock := d.router.Clock
	started := clock.Now()
	hedgeAfter := d.router.latencies.hedgeAfter(d.route)
	hedge := time.NewTimer(hedgeAfter.Duration())
	defer hedge.Stop()
	silence := time.NewTimer(SilentAfterMillis.Duration())
	defer silence.Stop()
	for {
		select {
		case result := <-d.results:
			delete(d.running, result.permit)
			d.used = result.permit
			if result.failure == nil {
				d.logExtraInput(result)
				d.explore()
				return result.reply, nil
			}
			d.recordFailure(result)
			if d.retry(ctx, result) || len(d.running) > 0 {
				continue
			}
			return result.reply, d.explainRefusal(result.failure)
		case <-hedge.C:
			if clock.Since(started)-hedgeAfter < TimerSlackMillis {
				d.markSlow()
			}
			d.hedge(ctx)
		case <-silence.C:
			if clock.Since(started)-SilentAfterMillis < TimerSlackMillis {
				d.markSilent()
			}
			if d.unreachable() {
				return RoutedReply{}, &AttemptError{Kind: FailureTimeout, Detail: "no upstream of " + d.service + " is heard"}
			}
		case <-ctx.Done():
			return RoutedReply{}, &AttemptError{Kind: FailureTimeout, Detail: "wait for " + d.service, Cause: ctx.Err()}
		}
		if clock.Now() >= d.deadline {
			return RoutedReply{}, &AttemptError{Kind: FailureTimeout, Detail: "deadline at " + d.service}
		}
	}
}

// start acquires a permit and sends an attempt in the background.
func (d *dispatch) start(ctx context.Context, want Want) *AttemptError {
	want.Service = d.service
	want.Kind = d.route.Name
	want.Priority = d.route.Priority
	want.Exclusive = d.isolated
	want.KeepOnConnectionLoss = true
	want.WaitUntil = d.queueDeadline
	if want.Exclude == nil {
		want.Exclude = d.exclude
	}
	permit, err := d.acquire(ctx, want)
	if err != nil {
		return &AttemptError{Kind: FailureNotSent, Detail: "no room at " + d.service, Cause: err}
	}
	d.launch(permit)
	return nil
}

// launch sends an attempt in the background.
func (d *dispatch) launch(permit *Permit) {
	d.arrivals++
	d.possibleRuns++
	d.running[permit] = struct{}{}
	d.sent.Store(true)
	d.router.Counters.Add(CountAttempts, 1)
	go func() {
		d.results <- d.send(permit)
		if d.closed.Load() {
			d.recordUnused()
		}
	}()
}

// explore sends the request once more, to an upstream whose estimate is outdated, if a repeat is
// allowed. It is called once the reply is known, so that it delays no caller and takes no attempt
// from a retry. The result is not used.
func (d *dispatch) explore() {
	if !d.router.Fleet.EstimatesCapacity() || !d.route.Idempotent || !d.mayRepeat() || len(d.running) > 0 {
		return
	}
	permit := d.router.Fleet.Explore(Want{Service: d.service, Kind: d.route.Name, Exclude: d.exclude, KeepOnConnectionLoss: true})
	if permit == nil {
		return
	}
	if !permit.Sendable() || !d.router.RetryBudget.Spend(d.service, ExploreBudgetFraction) {
		permit.Release()
		return
	}
	d.router.Counters.Add(CountExplorations, 1)
	d.launch(permit)
}

// acquire returns a permit. If none is free, it waits for one until d.queueDeadline,
// unless want.NoWait is set.
func (d *dispatch) acquire(ctx context.Context, want Want) (*Permit, error) {
	mayWait := !want.NoWait
	want.NoWait = true
	permit, err := d.router.acquire(ctx, want, d.request.Arrived)
	if err == nil || !mayWait {
		return permit, err
	}
	want.NoWait = false
	waiting, cancel := d.router.Clock.WithDeadline(ctx, d.queueDeadline)
	defer cancel()
	return d.router.acquire(waiting, want, d.request.Arrived)
}

// send makes one attempt and reports its result to the permit, which releases it.
func (d *dispatch) send(permit *Permit) routedResult {
	reply, err := d.router.Client.Send(d.attemptCtx, permit.Target(), RoutedAttempt{
		ID:       d.request.ID,
		Message:  d.request.Message,
		Deadline: d.deadline,
		Confirm:  permit.confirm(d.router.Pause),
	})
	if err == nil {
		// The signature proves that the upstream ran the request. A server error is no proof: it may
		// have come before any work was done.
		if reply.Signature != "" {
			d.router.crashes.survived(d.request)
		}
		err = d.checkReply(reply)
	}
	result := routedResult{permit: permit, reply: reply}
	permit.RecordLimit(reply.Limit)
	permit.RecordSignals(reply.Signals)
	d.recordLoad(permit, reply)
	if err != nil {
		result.failure = attemptFailure(err)
		if reply.Status != 0 {
			permit.RecordReply()
		}
		permit.Fail(result.failure)
		if result.failure.Kind == FailureLost {
			d.router.crashes.connectionLost(d.request, permit.Target().Name, permit.since)
		}
		return result
	}
	d.router.latencies.observe(d.route, permit.Complete())
	return result
}

// recordLoad passes the reported load to the permit. Invalid parts of it are counted and logged.
func (d *dispatch) recordLoad(permit *Permit, reply RoutedReply) {
	if !d.router.Fleet.EstimatesCapacity() {
		return
	}
	permit.RecordLoad(reply.Load)
	if reply.LoadInvalid {
		d.router.Counters.Add(CountInvalidLoads, 1)
		d.router.Log.Info("invalid load report", "service", d.service, "upstream", permit.Target().Name)
	}
}

// checkReply returns an error if a complete reply does not answer the request. The reply of a
// shard does so only if its status is 2xx, because other replies can't be merged. The reply to a
// request with one destination is returned to the caller with any status.
func (d *dispatch) checkReply(reply RoutedReply) error {
	if d.route.Scattered() && !reply.Success() {
		return &AttemptError{Kind: FailureError, Detail: "status " + strconv.Itoa(reply.Status) + " from a shard"}
	}
	return nil
}

// recordFailure updates the counts and the excluded upstreams after a failed attempt.
func (d *dispatch) recordFailure(result routedResult) {
	name := result.permit.Target().Name
	d.exclude.Add(name)
	failure := result.failure
	if failure.Kind != FailureNotRun {
		d.failed.Add(name)
	}
	if failure.ProvesNotRun() {
		d.possibleRuns--
	}
	if failure.Kind == FailureNotSent {
		d.arrivals--
	}
	d.router.countFailure(failure)
	if result.rejected().hasHead() && !failure.ProvesNotRun() {
		d.rejected++
	}
	d.countRejected(result)
	d.logFailure(MessageAttemptFailed, result)
}

// retry sends the request to another upstream after a failure and reports whether it
// did. It does nothing while another attempt runs, or if a repeat is not allowed. If no
// attempt can be started after a refusal, it backs off and then also tries the upstreams
// that refused.
func (d *dispatch) retry(ctx context.Context, result routedResult) bool {
	if ctx.Err() != nil || len(d.running) > 0 || !d.mayRepeat() {
		return false
	}
	if d.arrivals > 0 && !d.spend(1) {
		return false
	}
	d.router.Counters.Add(CountRetries, 1)
	if d.start(ctx, Want{}) == nil {
		return true
	}
	if result.failure.Kind == FailureNotRun && d.backOff(ctx) && d.start(ctx, Want{Exclude: d.failed}) == nil {
		return true
	}
	if d.arrivals > 0 {
		d.router.RetryBudget.Refund(d.service)
	}
	return false
}

// explainRefusal adds the time until an upstream accepts requests to a failure by refusal, if all of them
// are paused.
func (d *dispatch) explainRefusal(failure *AttemptError) *AttemptError {
	if failure.Kind != FailureNotRun {
		return failure
	}
	if paused := d.router.Fleet.pauseError(d.service); paused != nil {
		explained := *failure
		explained.Cause = paused
		return &explained
	}
	return failure
}

// backOff waits a few milliseconds before an overloaded upstream is tried again.
func (d *dispatch) backOff(ctx context.Context) bool {
	return d.router.Clock.Sleep(ctx, jitter(2*ShedPauseMillis)) == nil
}

// mayRepeat reports whether the request may be sent to one more upstream. A request
// that may have run is repeated only if it is idempotent.
func (d *dispatch) mayRepeat() bool {
	if d.arrivals >= MaxArrivals || d.possibleRuns >= d.route.MaxAttempts {
		return false
	}
	return d.possibleRuns == 0 || d.route.Idempotent
}

// spend counts one repeat against the RetryBudget and reports whether it is permitted. A
// refusal is counted and logged. fraction is passed to RetryBudget.Spend.
func (d *dispatch) spend(fraction float64) bool {
	if d.router.RetryBudget.Spend(d.service, fraction) {
		return true
	}
	d.router.Counters.Add(CountRetryBudgetExceeded, 1)
	d.router.Log.V(1).Info("repeat not allowed", "request", d.request.ID, "service", d.service, "arrivals", d.arrivals)
	return false
}

// hedge sends a second attempt in parallel with a slow one.
func (d *dispatch) hedge(ctx context.Context) {
	if len(d.running) != 1 || !d.route.Idempotent || !d.mayRepeat() || !d.spend(HedgeBudgetFraction) {
		return
	}
	exclude := d.exclude.Union(NewSet[string]())
	var late *Permit
	for permit := range d.running {
		late = permit
		exclude.Add(permit.Target().Name)
	}
	if d.start(ctx, Want{Exclude: exclude, NoWait: true}) != nil {
		d.router.RetryBudget.Refund(d.service)
		return
	}
	for permit := range d.running {
		if permit != late {
			d.hedged = permit
		}
	}
	d.router.Counters.Add(CountHedges, 1)
	d.router.Log.V(1).Info("hedged", "request", d.request.ID, "service", d.service)
}

// markSlow raises the latency estimates of upstreams that have not replied yet, so that
// they are chosen less often. The late attempts also count for the detection of silent
// zones.
func (d *dispatch) markSlow() {
	for permit := range d.running {
		permit.RecordSlow()
	}
}

// unreachable reports whether the wait for this service can end early: no upstream of it
// can be reached, and it is a shard, which the merged answer may leave out.
func (d *dispatch) unreachable() bool {
	return d.route.Scattered() && d.router.Fleet.ReachableServices([]string{d.service}) == 0
}

// markSilent takes upstreams out of use that have sent nothing since the attempt began.
// They return to use when they send a reply or a probe response.
func (d *dispatch) markSilent() {
	for permit := range d.running {
		permit.RecordSilence()
	}
}

// maxCheckAge is the age above which a check for a suspension of the process is repeated
// before an attempt is sent.
const maxCheckAge = 5 * Millis(1)

// acquire returns a permit for an upstream that may get new requests now. After a
// suspension of the process, it first waits until the state of the upstreams is
// refreshed. checked is the time up to which a suspension has been ruled out.
func (r *Router) acquire(ctx context.Context, want Want, checked Millis) (*Permit, error) {
	for {
		// The answer may have been closed before this shard's goroutine started.
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		permit, err := r.Fleet.Acquire(ctx, want)
		if err != nil {
			return nil, err
		}
		if r.Clock.Since(checked) > maxCheckAge {
			if err := r.Pause.Await(ctx); err != nil {
				permit.Release()
				return nil, err
			}
		}
		if permit.Sendable() {
			return permit, nil
		}
		permit.Release()
	}
}

// countFailure adds a failed attempt to the metrics.
func (r *Router) countFailure(failure *AttemptError) {
	switch failure.Kind {
	case FailureLost:
		r.Counters.Add(CountLostConnections, 1)
	case FailureNotRun, FailureMisdirected:
		r.Counters.Add(CountShedByUpstream, 1)
	case FailureBadReply:
		r.Counters.Add(CountBadReplies, 1)
	}
}

// timedOutInQueue reports whether a failure is a timeout of the wait for a free slot at an
// upstream.
func timedOutInQueue(failure *AttemptError) bool {
	return errors.Is(failure, context.DeadlineExceeded)
}
