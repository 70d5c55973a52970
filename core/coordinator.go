package core

import "slices"

// senderView holds the instances that send requests to upstreams, by zone: those that this instance
// can reach, and all known ones. It is recomputed when it is used after delegationMillis, or earlier
// if an instance changes.
type senderView struct {
	reachable map[string][]PeerInfo
	known     map[string][]PeerInfo
	// validUntil is the time from which the view is recomputed before its next use.
	validUntil Millis
}

// Coordinator implements CoordinatorSelector. The coordinator of a zone is the first, in a fixed
// order, of the instances there that send requests to upstreams: if an instance can reach the
// upstreams of a zone, it can usually reach its instances, too. If none of them can be reached, it
// is the first of all such instances.
func (p *Peers) Coordinator(zone string, unreachable []string) PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	senders := p.currentSenders().reachable
	candidates := withoutAddresses(senders[zone], unreachable)
	if len(candidates) == 0 {
		for _, others := range senders {
			candidates = append(candidates, withoutAddresses(others, unreachable)...)
		}
	}
	if len(candidates) == 0 {
		return p.Self
	}
	return byRank(candidates, "coordinator")[0]
}

// withoutAddresses returns the instances except those with the addresses.
func withoutAddresses(instances []PeerInfo, addresses []string) []PeerInfo {
	return slices.DeleteFunc(slices.Clone(instances), func(instance PeerInfo) bool { return slices.Contains(addresses, instance.Address) })
}

// CoordinatorShare implements CoordinatorSelector. While some of the instances can't be reached,
// they may have a coordinator of their own, and each of the coordinators grants the share of the
// instances that it can reach. For a zone other than this instance's own, these are the instances
// of all zones. While an instance that is preferred to this one was heard from of late, it probably
// grants tokens to others, and this instance grants no more than SubstituteShare.
func (p *Peers) CoordinatorShare(zone string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.currentSenders()
	reachable, known := flatten(view.reachable), flatten(view.known)
	if zone == p.Self.Zone {
		reachable, known = view.reachable[zone], view.known[zone]
	}
	share := min(1, float64(max(1, len(reachable)))/float64(max(1, len(known))))
	if p.preferredHeard(view.known[zone]) {
		share = min(share, SubstituteShare)
	}
	return share
}

// preferredHeard reports whether one of the instances that are preferred to this one as coordinator
// was heard from within PeerAliveMillis, directly or through others. The caller holds the lock.
func (p *Peers) preferredHeard(candidates []PeerInfo) bool {
	for _, instance := range byRank(candidates, "coordinator") {
		if instance.Address == p.Self.Address {
			return false
		}
		if peer, ok := p.peers[instance.Address]; ok && p.Clock.Since(peer.heardAt) <= PeerAliveMillis {
			return true
		}
	}
	return false
}

// flatten returns the instances of all zones.
func flatten(zones map[string][]PeerInfo) []PeerInfo {
	var all []PeerInfo
	for _, instances := range zones {
		all = append(all, instances...)
	}
	return all
}

// currentSenders returns the view of the senders. The caller holds the lock.
func (p *Peers) currentSenders() senderView {
	if now := p.Clock.Now(); now >= p.senders.validUntil {
		p.senders = senderView{
			reachable:  p.sendersByZone(func(peer *peerState) bool { return peer.consecutiveFailures == 0 }),
			known:      p.sendersByZone(nil),
			validUntil: now + delegationMillis,
		}
	}
	return p.senders
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

// invalidateViews makes the delegation and the view of the senders be recomputed before their next
// use. The caller holds the lock.
func (p *Peers) invalidateViews() {
	p.delegation.validUntil = 0
	p.senders.validUntil = 0
}
