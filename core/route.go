package core

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
)

// Destination is a service with its share of a route's requests.
type Destination struct {
	Service string
	Weight  float64
}

// Route says which services answer the requests to a host below a path prefix.
// It names either destinations, of which one answers, or shards, which all do.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout Millis
	// Objective is the latency within which an answer is worth most.
	Objective Millis
	// Priority is 0 for the lowest.
	Priority int
	// MaxAttempts is how many upstreams of one service may run one request.
	MaxAttempts  int
	Destinations []Destination
	Shards       []string
	// Top is how many records a merged answer holds.
	Top int
	// LeastCoverage is the share of the shards, from 0 to 1, below which a
	// merged answer is no success.
	LeastCoverage float64
}

// Scattered reports whether all shards answer.
func (r Route) Scattered() bool {
	return len(r.Shards) > 0
}

// Services returns the services that the route names.
func (r Route) Services() []string {
	services := slices.Clone(r.Shards)
	for _, d := range r.Destinations {
		services = append(services, d.Service)
	}
	return services
}

// LeastShards returns how many shards a success needs.
func (r Route) LeastShards() int {
	// roundingError keeps a product such as 0.9 * 20 from being rounded up.
	const roundingError = 1e-9
	needed := r.LeastCoverage * float64(len(r.Shards))
	least := int(needed)
	if needed-float64(least) > roundingError {
		least++
	}
	return max(1, least)
}

// pick draws a destination in proportion to the weights.
func (r Route) pick() string {
	total := 0.0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	point := rand.Float64() * total
	for _, d := range r.Destinations {
		point -= d.Weight
		if point < 0 {
			return d.Service
		}
	}
	if len(r.Destinations) == 0 {
		return ""
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// RouteTable finds routes by host and path.
type RouteTable struct {
	version uint64
	hosts   map[string][]Route
}

// NewRouteTable returns the table of a configuration's routes.
func NewRouteTable(configuration Configuration) *RouteTable {
	t := &RouteTable{version: configuration.Version, hosts: map[string][]Route{}}
	for _, route := range configuration.Routes {
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// Match returns the route with the longest prefix of the path.
func (t *RouteTable) Match(host, path string) (Route, bool) {
	routes, ok := t.hosts[strings.ToLower(host)]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = t.hosts[strings.ToLower(name)]
	}
	return find(routes, func(r Route) bool { return strings.HasPrefix(path, r.PathPrefix) })
}
