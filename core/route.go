package core

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
)

// Destination is a service and its weight in the traffic split of a route.
type Destination struct {
	Service string
	Weight  float64
}

// Route maps requests by host and path prefix to services. It has either
// Destinations, of which one gets the request, or Shards, which all get it.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Idempotent is true if upstreams may run a request more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for an answer.
	Timeout Millis
	// Objective is the target latency of an answer.
	Objective Millis
	// Priority is the priority of the requests; 0 is the lowest.
	Priority int
	// MaxAttempts is the maximum number of upstreams of one service that may run one
	// request.
	MaxAttempts  int
	Destinations []Destination
	Shards       []string
	// TopK is the maximum number of records that a merged answer holds.
	TopK int
	// MinCoverage is the fraction of the shards, from 0 to 1, that a merged
	// answer must include to be a success.
	MinCoverage float64
}

// Scattered reports whether requests go to shards, not to one destination.
func (r Route) Scattered() bool {
	return len(r.Shards) > 0
}

// Services returns the names of all shards and destinations of the route.
func (r Route) Services() []string {
	services := slices.Clone(r.Shards)
	for _, d := range r.Destinations {
		services = append(services, d.Service)
	}
	return services
}

// MinShards returns how many shards must answer for a success, at least one.
func (r Route) MinShards() int {
	// roundingError keeps a floating-point error in a product such as 0.9 * 20 from
	// adding a shard.
	const roundingError = 1e-9
	needed := r.MinCoverage * float64(len(r.Shards))
	least := int(needed)
	if needed-float64(least) > roundingError {
		least++
	}
	return max(1, least)
}

// pick returns the service of a random destination, in proportion to the weights. It
// returns an empty string if the route has no destinations.
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

// NewRouteTable returns a table of the configuration's routes. Host names are compared
// without regard to case.
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

// Match returns the host's route with the longest prefix of the path. A host with a port
// that no route names is looked up without the port.
func (t *RouteTable) Match(host, path string) (Route, bool) {
	routes, ok := t.hosts[strings.ToLower(host)]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = t.hosts[strings.ToLower(name)]
	}
	return find(routes, func(r Route) bool { return strings.HasPrefix(path, r.PathPrefix) })
}
