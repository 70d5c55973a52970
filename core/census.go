package core

import (
	"maps"
	"math/rand/v2"
)

// census remembers the instances that were heard of within CensusTTLMillis and did not report that
// they are leaving, by name. The other side of a divided fleet is in it for longer than among the
// peers, so that the two sides do not grant more tokens than one.
type census struct {
	entries map[string]censusEntry
}

// censusEntry is an instance in the census, with when it was last heard from, directly or through
// others.
type censusEntry struct {
	info    PeerInfo
	heardAt Millis
}

func newCensus() *census {
	return &census{entries: map[string]censusEntry{}}
}

// record adds an instance that was heard from at the given time. It removes one that is leaving.
func (c *census) record(info PeerInfo, heardAt Millis) {
	if c == nil || info.Name == "" {
		return
	}
	known, ok := c.entries[info.Name]
	switch {
	case ok && known.heardAt >= heardAt:
	case info.Leaving:
		delete(c.entries, info.Name)
	case !ok && len(c.entries) >= MaxKnownPeers:
	default:
		c.entries[info.Name] = censusEntry{info: info, heardAt: heardAt}
	}
}

// instances returns the remembered instances.
func (c *census) instances(now Millis) []PeerInfo {
	if c == nil {
		return nil
	}
	maps.DeleteFunc(c.entries, func(_ string, known censusEntry) bool { return now-known.heardAt > CensusTTLMillis })
	var all []PeerInfo
	for _, known := range c.entries {
		all = append(all, known.info)
	}
	return all
}

// sampleLost returns up to KnownPeerSample instances at random that were not heard from for
// KnownPeerTTLMillis, so that an instance that has started since learns of them.
func (c *census) sampleLost(now Millis) []KnownPeer {
	if c == nil {
		return nil
	}
	var lost []KnownPeer
	for _, known := range c.entries {
		if age := now - known.heardAt; age > KnownPeerTTLMillis && age <= CensusTTLMillis {
			lost = append(lost, KnownPeer{Info: known.info, Age: age})
		}
	}
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	return lost[:min(len(lost), KnownPeerSample)]
}

// ColdShare implements CoordinatorSelector. The senders that this instance has heard of are divided
// into those that it can reach and the others, which may have a coordinator of their own. While an
// instance that is preferred to this one may be granting tokens to others, this instance grants the
// share of the next one.
func (p *Peers) ColdShare(zone string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.census == nil {
		return 0
	}
	if p.firstMessageAt == 0 && len(p.peers) > 0 {
		return ColdLoneShare
	}
	now := p.Clock.Now()
	senders := p.censusSenders(now)
	reached, known := 0, 0
	for _, instance := range flatten(senders) {
		known++
		if p.reaches(instance, now) {
			reached++
		}
	}
	share := float64(reached) / float64(max(1, known))
	for range p.preferredToSelf(senders, zone, now) {
		share *= ColdSubstituteShare
	}
	return share
}

// censusSenders returns the instances that send requests to upstreams, out of this instance and those
// of the census. The caller holds the lock.
func (p *Peers) censusSenders(now Millis) map[string][]PeerInfo {
	instances := append(p.census.instances(now), p.Self)
	if p.Delegate {
		return aggregatorsByZone(instances)
	}
	zones := map[string][]PeerInfo{}
	for _, instance := range instances {
		zones[instance.Zone] = append(zones[instance.Zone], instance)
	}
	return zones
}

// reaches reports whether this instance can reach another one, as far as it knows. The caller holds
// the lock.
func (p *Peers) reaches(instance PeerInfo, now Millis) bool {
	if instance.Name == p.Self.Name {
		return true
	}
	peer, ok := p.peers[instance.Address]
	return ok && peer.consecutiveFailures == 0 && now-peer.heardAt <= p.censusDelay()
}

// preferredToSelf counts the instances that are preferred to this one as coordinator of a zone and
// that were heard from of late. It removes the zone from senders if it is another one. The caller holds
// the lock.
func (p *Peers) preferredToSelf(senders map[string][]PeerInfo, zone string, now Millis) int {
	ranked := byRank(senders[zone], "coordinator")
	if zone != p.Self.Zone {
		delete(senders, zone)
		ranked = append(ranked, byRank(flatten(senders), "coordinator")...)
	}
	count := 0
	for _, instance := range ranked {
		if instance.Name == p.Self.Name {
			break
		}
		if known, ok := p.census.entries[instance.Name]; ok && now-known.heardAt <= 2*p.censusDelay() {
			count++
		}
	}
	return count
}

// censusDelay returns how long after it was last heard from an instance counts as out of reach: two
// exchanges and a bit. The caller holds the lock.
func (p *Peers) censusDelay() Millis {
	senders := len(flatten(p.currentSenders().known))
	return 2*max(p.ExchangeInterval, Millis(senders)*p.ExchangePerInstance) + CensusSlackMillis
}
