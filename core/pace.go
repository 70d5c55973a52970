package core

import "sync"

// paces follow how long upstreams take for the requests of each route.
type paces struct {
	mu     sync.Mutex
	routes map[string]*latencyWindow
}

func newPaces() *paces {
	return &paces{routes: map[string]*latencyWindow{}}
}

// observe takes in the latency of a whole reply.
func (p *paces) observe(route Route, latency Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	window, ok := p.routes[route.Name]
	if !ok {
		window = &latencyWindow{}
		p.routes[route.Name] = window
	}
	window.add(latency)
}

// hedgeAfter returns after which time an attempt of the route is late.
func (p *paces) hedgeAfter(route Route) Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := max(HedgeMinMillis, Millis(HedgeObjectiveFactor*float64(route.Objective)))
	window, ok := p.routes[route.Name]
	if !ok {
		return latest
	}
	usual, known := window.quantile(MedianQuantile).Get()
	if !known {
		return latest
	}
	return min(latest, max(HedgeMinMillis, Millis(HedgeMedianFactor*float64(usual))+1))
}

// retain forgets the routes that a configuration does not name.
func (p *paces) retain(routes []Route) {
	named := NewSet[string]()
	for _, route := range routes {
		named.Add(route.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.routes {
		if !named.Has(name) {
			delete(p.routes, name)
		}
	}
}
