package core

// Coordinator implements CoordinatorSelector. The coordinator of a zone is the first, in a fixed
// order, of the instances there that send requests to upstreams: if an instance can reach the
// upstreams of a zone, it can usually reach its instances, too. If none of them can be reached, it
// is the first of all such instances.
func (p *Peers) Coordinator(zone, unreachable string) PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	senders := p.sendersByZone(func(peer *peerState) bool {
		return peer.consecutiveFailures == 0 && peer.address != unreachable
	})
	candidates := senders[zone]
	if len(candidates) == 0 {
		for _, others := range senders {
			candidates = append(candidates, others...)
		}
	}
	if len(candidates) == 0 {
		return p.Self
	}
	return byRank(candidates, "coordinator")[0]
}

// CoordinatorShare implements CoordinatorSelector. While some of the instances can't be reached,
// they may have a coordinator of their own, and each of the coordinators grants the share of the
// instances that it can reach. For a zone other than this instance's own, these are the instances
// of all zones.
func (p *Peers) CoordinatorShare(zone string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.sendersByZone(nil)
	reachable := p.sendersByZone(func(peer *peerState) bool { return peer.consecutiveFailures == 0 })
	count := func(senders map[string][]PeerInfo) int {
		if zone == p.Self.Zone {
			return len(senders[zone])
		}
		total := 0
		for _, others := range senders {
			total += len(others)
		}
		return total
	}
	return min(1, float64(max(1, count(reachable)))/float64(max(1, count(known))))
}

// sendersByZone returns the instances that send requests to upstreams, out of this instance and the
// matching others, except those that are leaving. The caller holds the lock.
func (p *Peers) sendersByZone(match func(*peerState) bool) map[string][]PeerInfo {
	instances := p.recentPeers(match)
	if !p.leaving {
		instances = append(instances, p.Self)
	}
	if p.Delegate {
		return aggregatorsByZone(instances)
	}
	zones := map[string][]PeerInfo{}
	for _, instance := range instances {
		zones[instance.Zone] = append(zones[instance.Zone], instance)
	}
	return zones
}
