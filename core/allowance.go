package core

import "sync"

// Allowance limits the repeated arrivals at each service within a sliding
// window: hedges and retries together stay below a share of the first requests,
// and a part of a fixed slack. As each instance keeps to its own requests and to
// its part of the slack, the sum over all instances keeps to the whole.
type Allowance struct {
	clock Clock
	limit AllowanceLimit

	mu        sync.Mutex
	instances int
	services  map[string]*allowanceWindow
}

// AllowanceLimit is how many repeated arrivals a service may get from all
// instances together within the window.
type AllowanceLimit struct {
	// Ratio is the part of the first requests that may be repeated.
	Ratio float64
	// Slack is what is allowed besides.
	Slack  float64
	Window Millis
}

// allowanceBuckets is how many parts the window is counted in.
const allowanceBuckets = 40

// slackPart is the part of its share of the slack that an instance uses. The
// rest is left to processes that were restarted within the window and have
// forgotten what they sent.
const slackPart = 0.5

type allowanceWindow struct {
	at       Millis
	requests [allowanceBuckets + 1]int
	repeats  [allowanceBuckets + 1]int
}

// NewAllowance returns an allowance for one of the given number of instances.
func NewAllowance(clock Clock, limit AllowanceLimit, instances int) *Allowance {
	return &Allowance{clock: clock, limit: limit, instances: max(1, instances), services: map[string]*allowanceWindow{}}
}

// Resize sets the number of instances that share the slack.
func (a *Allowance) Resize(instances int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.instances = max(1, instances)
}

// SetLimit changes the limit.
func (a *Allowance) SetLimit(limit AllowanceLimit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// window returns the service's window, moved up to now.
func (a *Allowance) window(service string) *allowanceWindow {
	w, ok := a.services[service]
	if !ok {
		w = &allowanceWindow{}
		a.services[service] = w
	}
	w.advance(a.clock.Now() / max(1, a.limit.Window/allowanceBuckets))
	return w
}

// advance empties the buckets that have left the window. One bucket more than
// the window is kept, as the oldest one is counted whole.
func (w *allowanceWindow) advance(at Millis) {
	const buckets = allowanceBuckets + 1
	for i := max(w.at+1, at-buckets+1); i <= at; i++ {
		w.requests[i%buckets] = 0
		w.repeats[i%buckets] = 0
	}
	w.at = max(w.at, at)
}

func (w *allowanceWindow) bucket() int {
	return int(w.at % (allowanceBuckets + 1))
}

// safeRequests returns how many requests are sure to count for a window that a
// repeat sent now falls into, wherever that window begins. The users take the most
// requests of the window, of the one before it and of the one half a window before
// it. One of these three holds the last half window before now, and one holds the last
// three quarters or the three quarters that ended a quarter ago.
func (w *allowanceWindow) safeRequests() int {
	const quarter = allowanceBuckets / 4
	half := w.sumAges(0, 2*quarter-1)
	return max(half, min(w.sumAges(0, 3*quarter-1), w.sumAges(quarter+1, allowanceBuckets-1)))
}

// sumAges returns the requests of the buckets of the given ages, both included.
func (w *allowanceWindow) sumAges(from, to Millis) int {
	const buckets = allowanceBuckets + 1
	total := 0
	for age := from; age <= to; age++ {
		total += w.requests[(w.at-age+buckets)%buckets]
	}
	return total
}

// Earn records the first request to a service.
func (a *Allowance) Earn(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.window(service)
	w.requests[w.bucket()]++
}

// Spend takes leave for one repeated arrival and reports whether there was any.
// part is the part of the allowance, from 0 to 1, that this use may exhaust.
func (a *Allowance) Spend(service string, part float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.window(service)
	requests, repeats := w.safeRequests(), sum(w.repeats[:])
	slack := a.limit.Slack * slackPart / float64(a.instances)
	allowed := part * (a.limit.Ratio*float64(requests) + slack)
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.bucket()]++
	return true
}

// Refund gives back the leave for an arrival that did not happen.
func (a *Allowance) Refund(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.window(service)
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
