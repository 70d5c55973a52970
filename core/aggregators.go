package core

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// aggregatorsByZone returns the instances of each zone that send requests to
// upstreams. In a large zone, and where some instances have much more processor time
// than others, these are few: they learn soon which replicas are slow, need few
// connections and share the allowance of repeats among few. All others delegate to them.
func aggregatorsByZone(instances []PeerInfo) map[string][]PeerInfo {
	best := 0
	sizes := map[string]int{}
	for _, instance := range instances {
		best = max(best, instance.Capacity)
		sizes[instance.Zone]++
	}
	zones := map[string][]PeerInfo{}
	for _, instance := range instances {
		if AggregatorStrength*instance.Capacity >= best {
			zones[instance.Zone] = append(zones[instance.Zone], instance)
		}
	}
	for zone, strong := range zones {
		limit := max(AggregatorsPerZone, sizes[zone]/InstancesPerAggregator)
		if len(strong) > 2*limit {
			zones[zone] = byRank(strong, "aggregator")[:limit]
		}
	}
	return zones
}

// delegatesFor returns the instances that one which does not send requests to upstreams
// itself delegates them to, those of its own zone first. It returns none for one that does.
func delegatesFor(self PeerInfo, others []PeerInfo) []PeerInfo {
	zones := aggregatorsByZone(append([]PeerInfo{self}, others...))
	own := zones[self.Zone]
	if slices.ContainsFunc(own, func(o PeerInfo) bool { return o.Name == self.Name }) {
		return nil
	}
	delegates := byRank(own, self.Name)
	if len(delegates) < LeastDelegates {
		var remote []PeerInfo
		for zone, aggregators := range zones {
			if zone != self.Zone {
				remote = append(remote, aggregators...)
			}
		}
		delegates = append(delegates, byRank(remote, self.Name)...)
	}
	return delegates[:min(len(delegates), MaxDelegates)]
}

// byRank returns the instances in an order that depends on the salt.
func byRank(instances []PeerInfo, salt string) []PeerInfo {
	rank := func(instance PeerInfo) uint64 { return xxhash.Sum64String(salt + "/" + instance.Name) }
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b PeerInfo) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}
