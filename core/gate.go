package core

import (
	"context"
	"slices"
	"sync"
)

// Gate is an adaptive concurrency limiter. It lowers its limit on requests in
// flight when the recent latency is much higher than the baseline, which is the
// latency without load. The lower the priority of a request, the smaller the part
// of the limit that it may use, so low priorities are refused first.
type Gate struct {
	clock      Clock
	priorities int
	// fixed disables the adaptation of the limit.
	fixed bool

	mu       sync.Mutex
	inFlight int
	limit    float64
	// recent is the moving average of the latency, and baseline the latency without
	// load, both in milliseconds.
	recent    float64
	baseline  float64
	loweredAt Millis
	// waiters is sorted by priority, highest first, then by arrival.
	waiters []*gateWaiter
}

// gateWaiter is a request in the queue of a Gate.
type gateWaiter struct {
	priority int
	// admitted receives whether the request is admitted.
	admitted chan bool
}

// NewGate returns a gate with the given initial limit on requests in flight and
// number of priorities. Priority 0 is the lowest.
func NewGate(clock Clock, limit, priorities int) *Gate {
	return &Gate{clock: clock, limit: float64(limit), priorities: max(1, priorities)}
}

// NewFixedGate returns a gate whose limit does not adapt to the latency.
func NewFixedGate(clock Clock, limit, priorities int) *Gate {
	g := NewGate(clock, limit, priorities)
	g.fixed = true
	return g
}

// Enter returns whether the request is admitted. A request that finds the gate full
// waits in a queue for the baseline latency, or for GateWaitFraction of remaining,
// the time until its deadline, if that is longer. maxLimit caps the limit, which is
// never below GateMinLimit.
func (g *Gate) Enter(ctx context.Context, priority, maxLimit int, remaining Millis) bool {
	g.mu.Lock()
	g.limit = max(GateMinLimit, min(g.limit, float64(maxLimit)))
	if g.admits(priority) {
		g.inFlight++
		g.mu.Unlock()
		return true
	}
	w := g.enqueue(priority)
	maxWait := max(Millis(g.baseline), Millis(GateWaitFraction*float64(remaining)))
	g.mu.Unlock()
	if w == nil {
		return false
	}
	return g.await(ctx, w, maxWait)
}

// await waits until the request is admitted or refused. It gives up after maxWait.
func (g *Gate) await(ctx context.Context, w *gateWaiter, maxWait Millis) bool {
	for waiting := true; waiting; {
		started := g.clock.Now()
		select {
		case admitted := <-w.admitted:
			return admitted
		case <-g.clock.After(maxWait):
			// If the timer fired late, this process has stalled, and answers that free
			// capacity may have arrived unread: wait again.
			waiting = g.clock.Since(started)-maxWait >= GateSlackMillis
		case <-ctx.Done():
			waiting = false
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if index := slices.Index(g.waiters, w); index >= 0 {
		g.waiters = slices.Delete(g.waiters, index, index+1)
		return false
	}
	return <-w.admitted
}

// admits reports whether a request of the priority may start now. With n priorities,
// priority p may use the part (p+1)/n of the limit, but at least one request.
func (g *Gate) admits(priority int) bool {
	share := float64(min(priority, g.priorities-1)+1) / float64(g.priorities)
	return float64(g.inFlight) < max(1, g.limit*share)
}

// enqueue adds a waiter behind those of the same or a higher priority. The queue is
// full when its length reaches the limit. A new request then replaces the last waiter
// if that has a lower priority; otherwise enqueue returns nil.
func (g *Gate) enqueue(priority int) *gateWaiter {
	w := &gateWaiter{priority: priority, admitted: make(chan bool, 1)}
	if float64(len(g.waiters)) >= g.limit {
		last := len(g.waiters) - 1
		if g.waiters[last].priority >= priority {
			return nil
		}
		g.waiters[last].admitted <- false
		g.waiters = g.waiters[:last]
	}
	index := slices.IndexFunc(g.waiters, func(o *gateWaiter) bool { return o.priority < priority })
	if index < 0 {
		index = len(g.waiters)
	}
	g.waiters = slices.Insert(g.waiters, index, w)
	return w
}

// Leave records the end of a request and its latency. congested reports that
// upstreams refused parts of the request because they were overloaded.
func (g *Gate) Leave(latency Millis, congested bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.recordLatency(max(1, float64(latency)))
	switch {
	case g.fixed:
	case congested || g.recent > GateLatencyFactor*g.baseline:
		g.lower()
	case g.recent < CongestedLatencyFactor*g.baseline:
		g.limit += GateIncrease / max(1, g.limit)
	}
	g.admitWaiters()
}

// recordLatency updates the recent latency and the baseline. The baseline is the
// minimum of the recent latency. It rises by the factor GateBaselineDrift with each
// answer, so that it follows a lasting change of the upstreams.
func (g *Gate) recordLatency(latency float64) {
	if g.recent == 0 {
		g.recent, g.baseline = latency, latency
	}
	latency = min(latency, GateLatencyCap*g.baseline)
	g.recent += GateLatencyWeight * (latency - g.recent)
	g.baseline = min(g.baseline*GateBaselineDrift, g.recent)
}

// lower reduces the limit, at most once per recent latency.
func (g *Gate) lower() {
	now := g.clock.Now()
	if float64(now-g.loweredAt) < g.recent {
		return
	}
	g.loweredAt = now
	g.limit = max(GateMinLimit, min(g.limit, float64(g.inFlight+1))*GateDecrease)
}

// admitWaiters admits waiters in queue order while the limit allows it.
func (g *Gate) admitWaiters() {
	for len(g.waiters) > 0 && g.admits(g.waiters[0].priority) {
		g.inFlight++
		g.waiters[0].admitted <- true
		g.waiters = g.waiters[1:]
	}
}

// Congested reports whether requests are waiting, or the recent latency is more than
// CongestedLatencyFactor times the baseline. The slots of the upstreams are then the
// bottleneck.
func (g *Gate) Congested() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters) > 0 || g.recent > CongestedLatencyFactor*g.baseline
}

// GateState is the state of a gate, for the state dump.
type GateState struct {
	Name     string
	InFlight int
	Waiting  int
	Limit    float64
	// RecentMillis is the recent latency, and BaselineMillis the baseline latency.
	RecentMillis   float64
	BaselineMillis float64
}

// State returns the current state of the gate.
func (g *Gate) State() GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GateState{
		InFlight:       g.inFlight,
		Waiting:        len(g.waiters),
		Limit:          g.limit,
		RecentMillis:   g.recent,
		BaselineMillis: g.baseline,
	}
}
