package core

import "sync"

// routeLatencies tracks the latency of upstreams for each route.
type routeLatencies struct {
	mu     sync.Mutex
	routes map[string]*latencyWindow
}

func newRouteLatencies() *routeLatencies {
	return &routeLatencies{routes: map[string]*latencyWindow{}}
}

// observe records the latency of a complete reply.
func (l *routeLatencies) observe(route Route, latency Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	window, ok := l.routes[route.Name]
	if !ok {
		window = &latencyWindow{}
		l.routes[route.Name] = window
	}
	window.add(latency)
}

// hedgeAfter returns the time after which an attempt of the route is hedged. It is a
// multiple of the median latency, and at most a fraction of the latency objective. That
// fraction is used while too few latencies are known.
func (l *routeLatencies) hedgeAfter(route Route) Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := max(HedgeMinMillis, Millis(HedgeObjectiveFactor*float64(route.Objective)))
	window, ok := l.routes[route.Name]
	if !ok {
		return longest
	}
	median, known := window.quantile(MedianQuantile).Get()
	if !known {
		return longest
	}
	return min(longest, max(HedgeMinMillis, Millis(HedgeMedianFactor*float64(median))+1))
}

// retain removes the routes that are not in routes.
func (l *routeLatencies) retain(routes []Route) {
	named := NewSet[string]()
	for _, route := range routes {
		named.Add(route.Name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.routes {
		if !named.Has(name) {
			delete(l.routes, name)
		}
	}
}
