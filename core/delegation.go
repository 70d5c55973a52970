package core

import (
	"context"
	"math/rand/v2"
	"slices"
)

// delegation is what an instance knows of those that it delegates to.
type delegation struct {
	to []PeerInfo
	// senders is how many instances send requests to upstreams.
	senders int
	// gatherers are those that this one may have gather shards, by zone.
	gatherers map[string][]PeerInfo
	// until is when this is worked out anew.
	until Millis
	// endedAt is when this instance began to send requests to upstreams itself after it
	// had delegated them, or zero.
	endedAt Millis
}

// SubscribeDelegation returns a channel that signals when this instance begins to delegate
// requests, or to send them to upstreams itself.
func (p *Peers) SubscribeDelegation() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := make(chan struct{}, 1)
	p.delegationChanges = append(p.delegationChanges, changed)
	return changed
}

// Delegates returns the instances that requests are delegated to, in the order in which
// they are tried. There are none where this instance sends them to upstreams itself.
func (p *Peers) Delegates() []PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentDelegation().to
}

// Joining reports whether the instance has just started and may yet hear of others that
// it can delegate requests to.
func (p *Peers) Joining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.joining()
}

// joining is Joining for a caller that holds the lock. The wait ends early where the
// instance was told of the others by one that knows them, is strong itself, or has heard
// others for a while. In a small fleet it may send requests itself as soon as it has, and
// where there are few services even before.
func (p *Peers) joining() bool {
	switch {
	case p.introduced, len(p.peers) == 0, p.Clock.Since(p.startedAt) >= p.Join, len(p.currentDelegation().to) > 0:
		return false
	case p.fewServices():
		return false
	case p.metAt == 0:
		return true
	case len(p.known(nil)) <= MaxPeerLinks || p.Clock.Since(p.metAt) >= p.JoinGossip:
		return false
	}
	weaker := p.known(func(peer *peerState) bool { return AggregatorStrength*peer.info.Capacity <= p.Self.Capacity })
	return len(weaker) == 0
}

// fewServices reports whether connections to all upstreams are so few that it does no harm
// if each instance opens them.
func (p *Peers) fewServices() bool {
	inForce, ok := p.Store.Current()
	return ok && len(inForce.Configuration.Services) <= JoinServices
}

// Senders returns how many instances send requests to upstreams, as far as is known.
func (p *Peers) Senders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentDelegation().senders
}

// ReadForOthers reports whether there are instances that rely on others to read the
// platform.
func (p *Peers) ReadForOthers() bool {
	return p.Delegate && p.Senders() < p.Size()
}

// Settling returns when this instance is expected to know enough to send requests to
// upstreams itself, unless it does: it may have just started, or begun to send requests
// itself without having read the platform since.
func (p *Peers) Settling() Option[Millis] {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.joining() {
		until := p.startedAt + p.Join
		if p.metAt != 0 {
			until = min(until, p.metAt+p.JoinGossip)
		}
		return Some(until + RetryLaterMillis)
	}
	ended := p.currentDelegation().endedAt
	since := p.Clock.Since(ended)
	if ended != 0 && since < SettleMillis && p.Store.ListReadAge() > since {
		return Some(p.Clock.Now() + RetryLaterMillis)
	}
	return None[Millis]()
}

// DelegateFailed takes in that an instance did not take a delegated request. It gets no
// more of them until it is heard again.
func (p *Peers) DelegateFailed(address string, err error) {
	p.noteFailure(address, err)
	p.kick(address)
}

// Relievers implements DelegateChoice.
func (p *Peers) Relievers() []PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	usable := p.known(func(peer *peerState) bool { return peer.failuresInRow == 0 && now >= peer.busyUntil })
	var senders []PeerInfo
	for _, aggregators := range aggregatorsByZone(append([]PeerInfo{p.Self}, usable...)) {
		senders = append(senders, aggregators...)
	}
	senders = slices.DeleteFunc(senders, func(o PeerInfo) bool { return o.Name == p.Self.Name })
	rand.Shuffle(len(senders), func(i, j int) { senders[i], senders[j] = senders[j], senders[i] })
	return senders
}

// Gatherers implements DelegateChoice.
func (p *Peers) Gatherers() map[string][]PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currentDelegation().gatherers
}

func (p *Peers) findGatherers(now Millis) map[string][]PeerInfo {
	usable := p.known(func(peer *peerState) bool { return peer.failuresInRow == 0 && now >= peer.busyUntil })
	zones := aggregatorsByZone(append([]PeerInfo{p.Self}, usable...))
	zones[p.Self.Zone] = slices.DeleteFunc(zones[p.Self.Zone], func(o PeerInfo) bool { return o.Name == p.Self.Name })
	return zones
}

// Busy implements DelegateChoice.
func (p *Peers) Busy(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.peers[address]; ok {
		peer.busyUntil = p.Clock.Now() + BusyMillis
		p.delegation.until = 0
	}
}

// HeardSince reports whether a peer was heard after the given time.
func (p *Peers) HeardSince(address string, at Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[address]
	return ok && peer.heardAt > at
}

// Responds implements DelegateChoice. Requests that wait for the same instance share one
// question.
func (p *Peers) Responds(ctx context.Context, address string, at Millis) bool {
	if p.HeardSince(address, at) {
		return true
	}
	answered := p.questions.DoChan(address, func() (any, error) {
		return nil, p.exchange(context.WithoutCancel(ctx), address)
	})
	select {
	case result := <-answered:
		return result.Err == nil && p.HeardSince(address, at)
	case <-ctx.Done():
		return false
	}
}

// currentDelegation returns the delegation, worked out anew from time to time. The
// caller holds the lock.
func (p *Peers) currentDelegation() delegation {
	now := p.Clock.Now()
	if now < p.delegation.until {
		return p.delegation
	}
	before := p.delegation
	p.delegation.until = now + delegationMillis
	p.delegation.to = nil
	p.delegation.senders = 1
	if !p.Delegate {
		return p.delegation
	}
	usable := p.known(func(peer *peerState) bool { return peer.failuresInRow == 0 })
	p.delegation.to = delegatesFor(p.Self, usable)
	p.delegation.senders = p.countSenders()
	p.delegation.gatherers = nil
	if len(p.delegation.to) == 0 {
		p.delegation.gatherers = p.findGatherers(now)
	}
	switch {
	case len(p.delegation.to) > 0:
		p.delegation.endedAt = 0
	case len(before.to) > 0:
		p.delegation.endedAt = now
	}
	if (len(before.to) == 0) != (len(p.delegation.to) == 0) {
		for _, changed := range p.delegationChanges {
			select {
			case changed <- struct{}{}:
			default:
			}
		}
		p.Log.Info("delegation changed", "delegates", instanceNames(p.delegation.to), "senders", p.delegation.senders)
	}
	return p.delegation
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
	for _, aggregators := range aggregatorsByZone(append([]PeerInfo{p.Self}, p.known(nil)...)) {
		count += len(aggregators)
	}
	return max(1, count)
}

// known returns the other instances that were heard of lately, are not leaving and
// match. The caller holds the lock.
func (p *Peers) known(match func(*peerState) bool) []PeerInfo {
	now := p.Clock.Now()
	var known []PeerInfo
	for _, peer := range p.peers {
		if peer.info.Incarnation == 0 || peer.info.Leaving || now-peer.heardAt > KnownPeerMillis {
			continue
		}
		if match == nil || match(peer) {
			known = append(known, peer.info)
		}
	}
	return known
}

// delegationLinks returns the peers to exchange with in a fleet in which some instances
// delegate: an instance that does is linked with those that it may delegate to, and the
// others with each other. The caller holds the lock.
func (p *Peers) delegationLinks() []string {
	known := p.known(nil)
	linked := append(delegatesFor(p.Self, known), p.currentDelegation().to...)
	if len(linked) == 0 {
		for _, aggregators := range aggregatorsByZone(append([]PeerInfo{p.Self}, known...)) {
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
