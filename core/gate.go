package core

import (
	"context"
	"slices"
	"sync"
)

// Gate limits the requests in flight. The limit follows the latency that it
// sees: it falls when answers take much longer than they did without load. As
// the gate fills, requests of a lower priority are refused first.
type Gate struct {
	clock      Clock
	priorities int
	// fixed keeps the limit as it is.
	fixed bool

	mu       sync.Mutex
	inFlight int
	limit    float64
	// recent and calm are the latency of late and without load, in milliseconds.
	recent    float64
	baseline      float64
	loweredAt Millis
	waiters   []*gateWaiter
}

type gateWaiter struct {
	priority int
	admitted chan bool
}

// NewGate returns a gate for a number of requests in flight, of which a request
// of the lowest of the priorities may use the smallest part.
func NewGate(clock Clock, limit, priorities int) *Gate {
	return &Gate{clock: clock, limit: float64(limit), priorities: max(1, priorities)}
}

// NewFixedGate returns a gate whose limit does not follow the latency.
func NewFixedGate(clock Clock, limit, priorities int) *Gate {
	g := NewGate(clock, limit, priorities)
	g.fixed = true
	return g
}

// Enter admits a request or reports that there is no room for it. It may wait
// as long as answers take without load, or for a part of left, the time that the
// request has. most is the limit above which the gate never admits.
func (g *Gate) Enter(ctx context.Context, priority, most int, left Millis) bool {
	g.mu.Lock()
	g.limit = max(GateLeast, min(g.limit, float64(most)))
	if g.admits(priority) {
		g.inFlight++
		g.mu.Unlock()
		return true
	}
	w := g.enqueue(priority)
	patience := max(Millis(g.baseline), Millis(GatePatiencePart*float64(left)))
	g.mu.Unlock()
	if w == nil {
		return false
	}
	return g.await(ctx, w, patience)
}

func (g *Gate) await(ctx context.Context, w *gateWaiter, patience Millis) bool {
	for waiting := true; waiting; {
		started := g.clock.Now()
		select {
		case admitted := <-w.admitted:
			return admitted
		case <-g.clock.After(patience):
			// After a stall of this process, the answers that make room are there unread.
			waiting = g.clock.Since(started)-patience >= GateSlackMillis
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

// admits reports whether there is room for the priority: the lowest may use only
// a part of the limit.
func (g *Gate) admits(priority int) bool {
	part := float64(min(priority, g.priorities-1)+1) / float64(g.priorities)
	return float64(g.inFlight) < max(1, g.limit*part)
}

// enqueue adds a waiter behind those of its priority. When as many wait as may
// be in flight, one of the lowest priority is turned away; nil means this one.
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

// Leave ends a request that took the given time. congested says that upstreams
// refused parts of it for want of room.
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

// recordLatency follows the latency. The latency without load is the least of late;
// it rises slowly, so that a lasting change of the upstreams is learned.
func (g *Gate) recordLatency(latency float64) {
	if g.recent == 0 {
		g.recent, g.baseline = latency, latency
	}
	latency = min(latency, GateLatencyCap*g.baseline)
	g.recent += GateLatencyWeight * (latency - g.recent)
	g.baseline = min(g.baseline*GateCalmDrift, g.recent)
}

// lower reduces the limit, once in the time that an answer takes.
func (g *Gate) lower() {
	now := g.clock.Now()
	if float64(now-g.loweredAt) < g.recent {
		return
	}
	g.loweredAt = now
	g.limit = max(GateLeast, min(g.limit, float64(g.inFlight+1))*GateDecrease)
}

// admitWaiters admits waiters while there is room.
func (g *Gate) admitWaiters() {
	for len(g.waiters) > 0 && g.admits(g.waiters[0].priority) {
		g.inFlight++
		g.waiters[0].admitted <- true
		g.waiters = g.waiters[1:]
	}
}

// Congested reports whether requests wait, or answers take longer than without
// load: then the slots of the upstreams are what is scarce.
func (g *Gate) Congested() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters) > 0 || g.recent > CongestedLatencyFactor*g.baseline
}

// GateState is a gate as operators see it.
type GateState struct {
	Name     string
	InFlight int
	Waiting  int
	Limit    float64
	// RecentMillis and CalmMillis are the latency of late and without load.
	RecentMillis float64
	CalmMillis   float64
}

// State returns what the gate admits now.
func (g *Gate) State() GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GateState{
		InFlight:     g.inFlight,
		Waiting:      len(g.waiters),
		Limit:        g.limit,
		RecentMillis: g.recent,
		CalmMillis:   g.baseline,
	}
}
