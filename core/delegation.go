package core

import (
	"context"
	"math/rand/v2"
	"slices"
)

// delegation holds the delegates of this instance and the roles of the other instances. It is
// recomputed when it is used after delegationMillis, or earlier if an instance changes.
type delegation struct {
	// delegates are the instances to delegate requests to, in the order in which they are tried.
	// There are none if this instance sends requests to upstreams itself.
	delegates []PeerInfo
	// senders is the number of instances that send requests to upstreams, or 1 without Delegate.
	senders int
	// gatherers are the instances that can gather shards for this one, by zone.
	gatherers map[string][]PeerInfo
	// validUntil is the time from which the delegation is recomputed before its next use.
	validUntil Millis
	// endedAt is when this instance stopped delegating requests and began to send them to
	// upstreams itself, or zero.
	endedAt Millis
}

// SubscribeDelegation returns a channel that signals when this instance begins to delegate
// requests or to send them to upstreams itself, and when a message ends its joining.
func (p *Peers) SubscribeDelegation() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := make(chan struct{}, 1)
	p.delegationChanges = append(p.delegationChanges, changed)
	return changed
}

// Delegates returns the instances that requests are delegated to, in the order in which
// they are tried. It returns none if this instance sends requests to upstreams itself.
func (p *Peers) Delegates() []PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentDelegation().delegates
}

// Joining reports whether the instance has just started and may still learn of others that
// it can delegate requests to.
func (p *Peers) Joining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.joining()
}

// joining is Joining for a caller that holds the lock. The wait, of at most JoinTimeout, ends
// early in these cases:
//   - An instance that is not joining itself has sent a message, which names others.
//   - A peer was found that has at most 1/AggregatorCapacityRatio of this instance's capacity,
//     so this instance is one of the stronger ones.
//   - JoinGossipTimeout has passed since the first message from another instance.
//   - Another instance has sent a message, and at most MaxPeerLinks others are known.
//   - There are few services, or no peers are known.
//   - The instance already has delegates.
func (p *Peers) joining() bool {
	switch {
	case p.heardFromJoined, len(p.peers) == 0, p.Clock.Since(p.startedAt) >= p.JoinTimeout, len(p.currentDelegation().delegates) > 0:
		return false
	case p.hasFewServices():
		return false
	case p.firstMessageAt == 0:
		return true
	case len(p.recentPeers(nil)) <= MaxPeerLinks || p.Clock.Since(p.firstMessageAt) >= p.JoinGossipTimeout:
		return false
	}
	weakerPeers := p.recentPeers(func(peer *peerState) bool { return AggregatorCapacityRatio*peer.info.Capacity <= p.Self.Capacity })
	return len(weakerPeers) == 0
}

// hasFewServices reports whether there are so few services that every instance can open
// connections to all of their upstreams.
func (p *Peers) hasFewServices() bool {
	inForce, ok := p.Store.Current()
	return ok && len(inForce.Configuration.Services) <= MaxServicesWithoutJoining
}

// SenderCount returns the number of known instances that send requests to upstreams. Without
// Delegate, it returns 1.
func (p *Peers) SenderCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentDelegation().senders
}

// HasDelegatingPeers reports whether some instances delegate their requests. These rely on the
// others to read the platform.
func (p *Peers) HasDelegatingPeers() bool {
	return p.Delegate && p.SenderCount() < p.InstanceCount()
}

// WarmupEnd returns when this instance is expected to know enough to send requests to
// upstreams itself. It returns nothing if it already does. It returns a time while this
// instance is joining, until it has received its first instance list, and for up to
// WarmupMillis after it stopped delegating, until it has read the platform.
func (p *Peers) WarmupEnd() Option[Millis] {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.joining() {
		until := p.startedAt + p.JoinTimeout
		if p.firstMessageAt != 0 {
			until = min(until, p.firstMessageAt+p.JoinGossipTimeout)
		}
		return Some(until + RetryLaterMillis)
	}
	current := p.currentDelegation()
	if p.JoinTimeout > 0 && len(current.delegates) == 0 && p.Store.List().Revision == 0 {
		return Some(p.Clock.Now() + RetryLaterMillis)
	}
	ended := current.endedAt
	since := p.Clock.Since(ended)
	if ended != 0 && since < WarmupMillis && p.Store.ListReadAge() > since {
		return Some(p.Clock.Now() + RetryLaterMillis)
	}
	return None[Millis]()
}

// DelegateFailed records that a call to a delegate failed. The delegate gets no more requests
// until a message from it is received.
func (p *Peers) DelegateFailed(address string, err error) {
	p.recordFailure(address, err)
	p.wakeTask(address)
}

// OffloadTargets implements DelegateSelector.
func (p *Peers) OffloadTargets() []PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	usable := p.recentPeers(func(peer *peerState) bool { return peer.consecutiveFailures == 0 && now >= peer.busyUntil })
	var senders []PeerInfo
	for _, aggregators := range aggregatorsByZone(append([]PeerInfo{p.Self}, usable...)) {
		senders = append(senders, aggregators...)
	}
	senders = slices.DeleteFunc(senders, func(instance PeerInfo) bool { return instance.Name == p.Self.Name })
	rand.Shuffle(len(senders), func(i, j int) { senders[i], senders[j] = senders[j], senders[i] })
	return senders
}

// Gatherers implements DelegateSelector.
func (p *Peers) Gatherers() map[string][]PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentDelegation().gatherers
}

func (p *Peers) findGatherers(now Millis) map[string][]PeerInfo {
	usable := p.recentPeers(func(peer *peerState) bool { return peer.consecutiveFailures == 0 && now >= peer.busyUntil })
	zones := aggregatorsByZone(append([]PeerInfo{p.Self}, usable...))
	zones[p.Self.Zone] = slices.DeleteFunc(zones[p.Self.Zone], func(instance PeerInfo) bool { return instance.Name == p.Self.Name })
	return zones
}

// MarkOverloaded implements DelegateSelector.
func (p *Peers) MarkOverloaded(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.peers[address]; ok {
		peer.busyUntil = p.Clock.Now() + BusyMillis
		p.invalidateViews()
	}
}

// HeardSince reports whether a message from a peer was received after the given time.
func (p *Peers) HeardSince(address string, at Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[address]
	return ok && peer.heardAt > at
}

// Responds implements DelegateSelector. Concurrent calls for the same instance share one
// exchange.
func (p *Peers) Responds(ctx context.Context, address string, at Millis) bool {
	if p.HeardSince(address, at) {
		return true
	}
	answered := p.livenessChecks.DoChan(address, func() (any, error) {
		return nil, p.exchange(context.WithoutCancel(ctx), address)
	})
	select {
	case result := <-answered:
		return result.Err == nil && p.HeardSince(address, at)
	case <-ctx.Done():
		return false
	}
}

// currentDelegation returns the delegation. It first recomputes a delegation that is older
// than delegationMillis or was invalidated. The caller holds the lock.
func (p *Peers) currentDelegation() delegation {
	now := p.Clock.Now()
	if now < p.delegation.validUntil {
		return p.delegation
	}
	before := p.delegation
	p.delegation.validUntil = now + delegationMillis
	p.delegation.delegates = nil
	p.delegation.senders = 1
	if !p.Delegate {
		return p.delegation
	}
	usable := p.recentPeers(func(peer *peerState) bool { return peer.consecutiveFailures == 0 })
	p.delegation.delegates = delegatesFor(p.Self, usable)
	p.delegation.senders = p.countSenders()
	p.delegation.gatherers = nil
	if len(p.delegation.delegates) == 0 {
		p.delegation.gatherers = p.findGatherers(now)
	}
	switch {
	case len(p.delegation.delegates) > 0:
		p.delegation.endedAt = 0
	case len(before.delegates) > 0:
		p.delegation.endedAt = now
	}
	if (len(before.delegates) == 0) != (len(p.delegation.delegates) == 0) {
		p.signalDelegation()
		p.Log.Info("delegation changed", "delegates", instanceNames(p.delegation.delegates), "senders", p.delegation.senders)
	}
	return p.delegation
}

// signalDelegation signals on the channels that SubscribeDelegation has returned. The caller
// holds the lock.
func (p *Peers) signalDelegation() {
	for _, changed := range p.delegationChanges {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

func instanceNames(instances []PeerInfo) []string {
	var names []string
	for _, instance := range instances {
		names = append(names, instance.Name)
	}
	return names
}

func (p *Peers) countSenders() int {
	count := 0
	for _, aggregators := range aggregatorsByZone(append([]PeerInfo{p.Self}, p.recentPeers(nil)...)) {
		count += len(aggregators)
	}
	return max(1, count)
}

// recentPeers returns the matching other instances that were heard of within KnownPeerTTLMillis
// and are not leaving. A nil match selects all. The caller holds the lock.
func (p *Peers) recentPeers(match func(*peerState) bool) []PeerInfo {
	now := p.Clock.Now()
	var recent []PeerInfo
	for _, peer := range p.peers {
		if peer.info.Incarnation == 0 || peer.info.Leaving || now-peer.heardAt > KnownPeerTTLMillis {
			continue
		}
		if match == nil || match(peer) {
			recent = append(recent, peer.info)
		}
	}
	return recent
}

// delegationLinks returns the addresses of the peers to exchange messages with when some
// instances delegate. An instance that delegates exchanges with its delegates, and
// those that send requests to upstreams exchange with each other. The caller holds the lock.
func (p *Peers) delegationLinks() []string {
	recent := p.recentPeers(nil)
	linked := append(delegatesFor(p.Self, recent), p.currentDelegation().delegates...)
	if len(linked) == 0 {
		for _, aggregators := range aggregatorsByZone(append([]PeerInfo{p.Self}, recent...)) {
			linked = append(linked, aggregators...)
		}
	}
	addresses := NewSet[string]()
	for _, instance := range linked {
		addresses.Add(instance.Address)
	}
	delete(addresses, p.Self.Address)
	return addresses.Sorted()
}
