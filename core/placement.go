package core

import "sync"

// placement knows for which routes other zones are a better place to gather the shards:
// only the merged answer crosses zones then, in place of every part of it.
type placement struct {
	clock Clock
	fleet *Fleet

	mu     sync.Mutex
	routes map[string]placed
}

// placed are the better zones for a route.
type placed struct {
	zones Set[string]
	until Millis
}

// placementMillis is how long the better zones of a route stand.
const placementMillis = 100 * Millis(1)

func newPlacement(clock Clock, fleet *Fleet) *placement {
	return &placement{clock: clock, fleet: fleet, routes: map[string]placed{}}
}

// zones returns the zones that have upstreams in reach for at least half of the route's
// shards and twice as many as the instance's own, or none.
func (p *placement) zones(route Route) Set[string] {
	if !route.Scattered() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if known, ok := p.routes[route.Name]; ok && now < known.until {
		return known.zones
	}
	covered := p.fleet.ServicesByZone(route.Shards)
	zones := NewSet[string]()
	for zone, count := range covered {
		if 2*count >= len(route.Shards) && count >= 2*covered[p.fleet.zone] && zone != p.fleet.zone {
			zones.Add(zone)
		}
	}
	p.routes[route.Name] = placed{zones: zones, until: now + placementMillis}
	return zones
}

// retain forgets the routes that a configuration does not name, and what was known of
// the others.
func (p *placement) retain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.routes)
}
