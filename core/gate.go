package core

import "sync"

// Gate limits the requests in flight. As it fills, requests of a lower priority
// are refused first.
type Gate struct {
	mu         sync.Mutex
	inFlight   int
	limit      float64
	least      float64
	priorities int
}

// NewGate returns a gate for a number of requests in flight, of which a request
// of the lowest of the priorities may use the smallest part.
func NewGate(limit, priorities int) *Gate {
	return &Gate{limit: float64(limit), least: 1, priorities: max(1, priorities)}
}

// Enter admits a request or reports that there is no room. most is the limit
// above which the gate never admits.
func (g *Gate) Enter(priority, most int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(g.least, min(g.limit, float64(most)))
	part := float64(min(priority, g.priorities-1)+1) / float64(g.priorities)
	if float64(g.inFlight) >= max(1, g.limit*part) {
		return false
	}
	g.inFlight++
	return true
}

// Leave ends a request. congested says that upstreams refused parts of it for
// want of room, which lowers the limit; else the limit rises.
func (g *Gate) Leave(congested bool) {
	const decrease = 0.9
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if congested {
		g.limit = max(g.least, g.limit*decrease)
		return
	}
	g.limit += 1 / max(1, g.limit)
}

// State returns the requests in flight and the present limit.
func (g *Gate) State() (inFlight int, limit float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, g.limit
}
