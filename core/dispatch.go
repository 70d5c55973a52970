package core

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// dispatch sends one routed request to the upstreams of one service until one of
// them has answered it: to another one when an attempt is late or has failed.
type dispatch struct {
	router   *Router
	route    Route
	request  RoutedRequest
	service  string
	deadline Millis
	// patience ends the wait for room at an upstream.
	patience Millis
	// work carries the attempts. It outlives the wait for them by a while.
	work context.Context
	// earned is set where the request counts for the allowance of repeats already.
	earned bool
	// avoid names upstreams that another instance has probably tried.
	avoid Set[string]

	exclude Set[string]
	// failed are those of them that did more than refuse for want of room.
	failed  Set[string]
	running map[*Permit]struct{}
	// arrivals counts the attempts that may have reached an upstream, runs those
	// that it may have run.
	arrivals int
	runs     int
	results  chan routedResult
	// sent is set once an attempt was given to an upstream. Unlike the other
	// fields it may be read while the dispatch runs.
	sent atomic.Bool
}

// routedResult is the end of one attempt.
type routedResult struct {
	permit  *Permit
	reply   RoutedReply
	failure *AttemptError
}

// run returns the first whole reply, or the last failure. ctx ends the wait for
// the reply. A reply that comes with a failure is what the upstream answered.
func (d *dispatch) run(ctx context.Context) (RoutedReply, *AttemptError) {
	d.exclude = d.avoid.Union(nil)
	d.failed = NewSet[string]()
	d.running = map[*Permit]struct{}{}
	d.results = make(chan routedResult, MaxArrivals+1)
	if !d.earned {
		d.router.Allowance.Earn(d.service)
	}
	if failure := d.start(ctx, Want{}); failure != nil {
		return RoutedReply{}, failure
	}
	clock := d.router.Clock
	started := clock.Now()
	hedgeAfter := d.router.paces.hedgeAfter(d.route)
	hedge := time.NewTimer(hedgeAfter.Duration())
	defer hedge.Stop()
	silence := time.NewTimer(SilentAfterMillis.Duration())
	defer silence.Stop()
	for {
		select {
		case result := <-d.results:
			delete(d.running, result.permit)
			if result.failure == nil {
				return result.reply, nil
			}
			d.settle(result)
			if d.retry(ctx, result) || len(d.running) > 0 {
				continue
			}
			return result.reply, result.failure
		case <-hedge.C:
			if clock.Since(started)-hedgeAfter < TimerSlackMillis {
				d.late()
			}
			d.hedge(ctx)
		case <-silence.C:
			if clock.Since(started)-SilentAfterMillis < TimerSlackMillis {
				d.silent()
			}
			if d.hopeless() {
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

// start sends an attempt to an upstream that may be given new work now.
func (d *dispatch) start(ctx context.Context, want Want) *AttemptError {
	want.Service = d.service
	want.Priority = d.route.Priority
	want.KeepBroken = true
	if want.Exclude == nil {
		want.Exclude = d.exclude
	}
	permit, err := d.acquire(ctx, want)
	if err != nil {
		return &AttemptError{Kind: FailureNotSent, Detail: "no room at " + d.service, Cause: err}
	}
	d.arrivals++
	d.runs++
	d.running[permit] = struct{}{}
	d.sent.Store(true)
	d.router.Counters.Add(CountAttempts, 1)
	go func() { d.results <- d.send(permit) }()
	return nil
}

// acquire returns a permit at once or waits for one as long as the request may.
func (d *dispatch) acquire(ctx context.Context, want Want) (*Permit, error) {
	patient := !want.NoWait
	want.NoWait = true
	permit, err := d.router.acquire(ctx, want, d.request.Arrived)
	if err == nil || !patient {
		return permit, err
	}
	want.NoWait = false
	waiting, cancel := d.router.Clock.WithDeadline(ctx, d.patience)
	defer cancel()
	return d.router.acquire(waiting, want, d.request.Arrived)
}

// send makes one attempt and settles its permit.
func (d *dispatch) send(permit *Permit) routedResult {
	reply, err := d.router.Client.Send(d.work, permit.Target(), RoutedAttempt{
		ID:       d.request.ID,
		Message:  d.request.Message,
		Deadline: d.deadline,
	})
	result := routedResult{permit: permit, reply: reply}
	if err != nil {
		result.failure = attemptFailure(err)
		if reply.Status != 0 {
			permit.Heard()
		}
		permit.Fail(result.failure)
		if result.failure.Kind == FailureLost {
			d.router.crashes.lost(d.request.fingerprint, permit.Target().Name, permit.since)
		}
		return result
	}
	d.router.paces.observe(d.route, permit.Complete())
	return result
}

// settle takes in what a failure proves.
func (d *dispatch) settle(result routedResult) {
	name := result.permit.Target().Name
	d.exclude.Add(name)
	failure := result.failure
	if failure.Kind != FailureNotRun {
		d.failed.Add(name)
	}
	if failure.ProvesNotRun() {
		d.runs--
	}
	if failure.Kind == FailureNotSent {
		d.arrivals--
	}
	d.router.countFailure(failure)
	d.router.story(d.request, "attempt failed", "service", d.service, "upstream", name,
		"failure", string(failure.Kind), "detail", failure.Error())
}

// retry sends the request to another upstream after a failure, if that may be
// done and serves a purpose.
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
	if result.failure.Kind == FailureNotRun && d.pause(ctx) && d.start(ctx, Want{Exclude: d.failed}) == nil {
		return true
	}
	if d.arrivals > 0 {
		d.router.Allowance.Refund(d.service)
	}
	return false
}

// pause waits a moment before an upstream that had no room is asked again.
func (d *dispatch) pause(ctx context.Context) bool {
	return d.router.Clock.Sleep(ctx, jitter(2*ShedPauseMillis)) == nil
}

// mayRepeat reports whether the request may be given to one more upstream.
func (d *dispatch) mayRepeat() bool {
	if d.arrivals >= MaxArrivals || d.runs >= d.route.MaxAttempts {
		return false
	}
	return d.runs == 0 || d.route.Idempotent
}

func (d *dispatch) spend(part float64) bool {
	if d.router.Allowance.Spend(d.service, part) {
		return true
	}
	d.router.Counters.Add(CountRepeatsRefused, 1)
	d.router.Log.V(1).Info("repeat not allowed", "request", d.request.ID, "service", d.service, "arrivals", d.arrivals)
	return false
}

// hedge sends a second attempt beside a late one.
func (d *dispatch) hedge(ctx context.Context) {
	if len(d.running) != 1 || !d.route.Idempotent || !d.mayRepeat() || !d.spend(HedgePart) {
		return
	}
	exclude := d.exclude.Union(NewSet[string]())
	for permit := range d.running {
		exclude.Add(permit.Target().Name)
	}
	if d.start(ctx, Want{Exclude: exclude, NoWait: true}) != nil {
		d.router.Allowance.Refund(d.service)
		return
	}
	d.router.Counters.Add(CountHedges, 1)
	d.router.Log.V(1).Info("hedged", "request", d.request.ID, "service", d.service)
}

// late lets the choice of replicas know of attempts that are late.
func (d *dispatch) late() {
	for permit := range d.running {
		permit.Slow()
	}
}

// hopeless reports whether the request may be abandoned at this service: no
// upstream of it can be reached, and the answer can do without it.
func (d *dispatch) hopeless() bool {
	return d.route.Scattered() && d.router.Fleet.ReachableServices([]string{d.service}) == 0
}

// silent takes upstreams that were not heard at all out of use until they are.
func (d *dispatch) silent() {
	for permit := range d.running {
		permit.Silent()
	}
}

// viewAge is how long ago the view was last known to be current when it is checked
// again for a suspension of the process.
const viewAge = 5 * Millis(1)

// acquire returns a permit for an upstream that may be given new work now. The
// view is renewed first if the process was suspended. checked is when that was
// last ruled out.
func (r *Router) acquire(ctx context.Context, want Want, checked Millis) (*Permit, error) {
	for {
		// The answer may have been closed before this shard's task began.
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		permit, err := r.Fleet.Acquire(ctx, want)
		if err != nil {
			return nil, err
		}
		if r.Clock.Since(checked) > viewAge {
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

// withoutRoom reports whether a failure came of a wait for room.
func withoutRoom(failure *AttemptError) bool {
	return errors.Is(failure, context.DeadlineExceeded)
}
