package core

import "sync"

// RetryBudget limits the repeated requests to each service within a sliding window. The
// hedges and retries of an instance together stay below a fraction of its first requests
// plus its share of a fixed slack. As each instance counts only its own requests and uses
// only its share of the slack, all instances together stay within the limit without
// coordination.
type RetryBudget struct {
	clock Clock
	limit RetryBudgetLimit

	mu        sync.Mutex
	instances int
	services  map[string]*retryBudgetWindow
	// ramp is set if the slack becomes available over the window that begins at rampStart. It is not
	// available at all while rampStart is not set.
	ramp      bool
	rampStart Option[Millis]
}

// RetryBudgetLimit is the maximum number of repeated requests that a service may get from
// all instances together within the window.
type RetryBudgetLimit struct {
	// Ratio is the number of repeats allowed for each first request.
	Ratio float64
	// Slack is the number of repeats allowed in addition.
	Slack  float64
	Window Millis
}

// retryBudgetBuckets is the number of buckets that the window is divided into.
const retryBudgetBuckets = 40

// usableSlackFraction is the fraction of its share of the slack that an instance uses. The
// rest is reserved for restarts: a process that restarts within the window loses its
// counts and gets its share again, in proportion to the time since its start. In a window,
// the processes that an instance starts one after the other thus get two shares at most.
const usableSlackFraction = 0.5

// retryBudgetWindow counts the requests to one service in buckets of equal duration.
type retryBudgetWindow struct {
	// newest is the number of the newest bucket, counted from time zero of the clock.
	newest   Millis
	requests [retryBudgetBuckets + 1]int
	repeats  [retryBudgetBuckets + 1]int
}

// NewRetryBudget returns a RetryBudget for one instance. instances is the number of
// instances that share the slack.
func NewRetryBudget(clock Clock, limit RetryBudgetLimit, instances int) *RetryBudget {
	return &RetryBudget{clock: clock, limit: limit, instances: max(1, instances), services: map[string]*retryBudgetWindow{}}
}

// Resize sets the number of instances that share the slack.
func (b *RetryBudget) Resize(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, instances)
}

// WithholdSlack makes the slack unavailable until ReleaseSlack is called. An instance that starts
// again does not know what its previous process has used, nor how many instances share the slack.
func (b *RetryBudget) WithholdSlack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ramp = true
}

// ReleaseSlack makes withheld slack available step by step, over one window. Further calls do nothing.
func (b *RetryBudget) ReleaseSlack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.rampStart.Get(); !ok {
		b.rampStart = Some(b.clock.Now())
	}
}

// slack returns the slack that this instance may use now. b.mu must be held.
func (b *RetryBudget) slack() float64 {
	share := b.limit.Slack * usableSlackFraction / float64(b.instances)
	if !b.ramp {
		return share
	}
	start, ok := b.rampStart.Get()
	if !ok {
		return 0
	}
	return share * min(1, float64(b.clock.Since(start))/float64(max(1, b.limit.Window)))
}

// SetLimit replaces the limit.
func (b *RetryBudget) SetLimit(limit RetryBudgetLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// window returns the service's window, advanced to the current time.
func (b *RetryBudget) window(service string) *retryBudgetWindow {
	w, ok := b.services[service]
	if !ok {
		w = &retryBudgetWindow{}
		b.services[service] = w
	}
	w.advance(b.clock.Now() / max(1, b.limit.Window/retryBudgetBuckets))
	return w
}

// advance clears the buckets that have left the window. It keeps one bucket more than fits
// in the window, because the oldest one is counted in full even if only a part of it is
// still in the window.
func (w *retryBudgetWindow) advance(newest Millis) {
	const buckets = retryBudgetBuckets + 1
	for i := max(w.newest+1, newest-buckets+1); i <= newest; i++ {
		w.requests[i%buckets] = 0
		w.repeats[i%buckets] = 0
	}
	w.newest = max(w.newest, newest)
}

// bucket returns the index of the newest bucket.
func (w *retryBudgetWindow) bucket() int {
	return int(w.newest % (retryBudgetBuckets + 1))
}

// minRequests returns a lower bound of the requests that count for any window that
// contains a repeat sent now, wherever that window begins. The limit of a window is
// measured against the largest of three counts: the requests in the window itself, in the
// window before it, and in the window that begins half a window earlier. One of these
// three contains the last half window before now. One contains either the last three
// quarters of a window, or the three quarters that ended a quarter of a window ago.
func (w *retryBudgetWindow) minRequests() int {
	const quarter = retryBudgetBuckets / 4
	half := w.sumAges(0, 2*quarter-1)
	return max(half, min(w.sumAges(0, 3*quarter-1), w.sumAges(quarter+1, retryBudgetBuckets-1)))
}

// sumAges returns the number of requests in the buckets whose age is at least from and at
// most to. The newest bucket has age 0.
func (w *retryBudgetWindow) sumAges(from, to Millis) int {
	const buckets = retryBudgetBuckets + 1
	total := 0
	for age := from; age <= to; age++ {
		total += w.requests[(w.newest-age+buckets)%buckets]
	}
	return total
}

// Earn records a first request to a service.
func (b *RetryBudget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.bucket()]++
}

// Spend counts one repeat and returns true if the budget permits it. fraction is the part
// of the budget, from 0 to 1, that repeats may have used up afterwards.
func (b *RetryBudget) Spend(service string, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, repeats := w.minRequests(), sum(w.repeats[:])
	allowed := fraction * (b.limit.Ratio*float64(requests) + b.slack())
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.bucket()]++
	return true
}

// Refund undoes a Spend whose repeat was not sent.
func (b *RetryBudget) Refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	if w.repeats[w.bucket()] > 0 {
		w.repeats[w.bucket()]--
	}
}

func sum(values []int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
