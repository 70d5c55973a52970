package core

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// aggregatorsByZone returns the instances of each zone that send requests to
// upstreams. All others delegate to them. There are few of them in a large zone, and
// where some instances have much more processor time than others. Each then receives
// enough replies to detect slow replicas quickly, few connections are needed, and the
// slack of the retry budget is divided among few instances.
func aggregatorsByZone(instances []PeerInfo) map[string][]PeerInfo {
	maxCapacity := 0
	zoneSizes := map[string]int{}
	for _, instance := range instances {
		maxCapacity = max(maxCapacity, instance.Capacity)
		zoneSizes[instance.Zone]++
	}
	zones := map[string][]PeerInfo{}
	for _, instance := range instances {
		if AggregatorCapacityRatio*instance.Capacity >= maxCapacity {
			zones[instance.Zone] = append(zones[instance.Zone], instance)
		}
	}
	for zone, candidates := range zones {
		limit := max(AggregatorsPerZone, zoneSizes[zone]/InstancesPerAggregator)
		if len(candidates) > 2*limit {
			zones[zone] = byRank(candidates, "aggregator")[:limit]
		}
	}
	return zones
}

// delegatesFor returns the instances that self delegates requests to, those of its own zone
// first. It returns none if self sends requests to upstreams itself.
func delegatesFor(self PeerInfo, others []PeerInfo) []PeerInfo {
	zones := aggregatorsByZone(append([]PeerInfo{self}, others...))
	local := zones[self.Zone]
	if slices.ContainsFunc(local, func(instance PeerInfo) bool { return instance.Name == self.Name }) {
		return nil
	}
	delegates := byRank(local, self.Name)
	if len(delegates) < MinDelegates {
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

// byRank returns the instances in a fixed order that depends on their names and the salt.
func byRank(instances []PeerInfo, salt string) []PeerInfo {
	rank := func(instance PeerInfo) uint64 { return xxhash.Sum64String(salt + "/" + instance.Name) }
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b PeerInfo) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}
