package core

import (
	"context"
	"errors"
	"math/rand/v2"
)

// PeerInfo describes an instance, as the instance itself reports it.
type PeerInfo struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
	Leaving     bool
	// Capacity is the processor time of the instance, in thousandths of a core.
	Capacity int
}

// KnownPeer is an instance that a message reports to other instances.
type KnownPeer struct {
	Info PeerInfo
	// Age is how long ago the instance was last heard from.
	Age Millis
}

// ExchangeMessage is a gossip message between two instances. The request and its reply have
// the same form.
type ExchangeMessage struct {
	From PeerInfo
	// ConfigurationVersion and ConfigurationDigest identify the sender's
	// configuration in force. Configuration is its document; it is set only if the
	// receiver has asked for it and has an older one.
	ConfigurationVersion uint64
	ConfigurationDigest  string
	Configuration        []byte
	// Wants asks the receiver for its configuration, which is newer than the sender's.
	// An instance asks one peer at a time.
	Wants bool
	// ListRevision identifies the sender's instance list. InstanceList is its
	// document; it is set only if the receiver has asked for it by WantsList and has an
	// older one.
	ListRevision Revision
	InstanceList []byte
	WantsList    bool
	// PlatformAge is how long ago the sender last had contact with the platform,
	// directly or through peers.
	PlatformAge Millis
	// Joining is set while the sender may still learn of instances to delegate to.
	Joining bool
	// Known is a sample of the other instances that were heard from within
	// KnownPeerTTLMillis.
	Known []KnownPeer
	// Facts are the sender's facts that the receiver has not acknowledged. Sequence
	// is the sequence number of the sender's last fact.
	Facts    []Fact
	Sequence uint64
	// SeenIncarnation and SeenSequence acknowledge the receiver's facts: the receiver's
	// incarnation and the sequence number of the last fact received from it.
	SeenIncarnation uint64
	SeenSequence    uint64
}

// exchange sends the peer a message and processes its reply.
func (p *Peers) exchange(ctx context.Context, address string) error {
	message, ok := p.messageFor(address)
	if !ok {
		return nil
	}
	timeout := ExchangeTimeoutMillis
	if p.discovering() {
		timeout = JoinExchangeTimeoutMillis
		if p.failing(address) {
			// The connection may be in backoff, or its handshake may wait for a retransmission
			// because the peer's machine was still starting. A new connection does neither.
			p.Client.CloseConnection(address)
		}
	}
	limited, cancel := p.Clock.WithDeadline(ctx, p.Clock.Now()+timeout)
	defer cancel()
	p.Counters.Add(CountPeerExchanges, 1)
	reply, err := p.Client.Exchange(limited, address, message)
	if err != nil {
		p.Counters.Add(CountPeerFailures, 1)
		if errors.Is(limited.Err(), context.DeadlineExceeded) {
			p.recordTimeout(address)
		}
		p.recordFailure(address, err)
		return err
	}
	p.handleMessage(address, reply)
	if p.needsExchange(address) {
		p.wakeTask(address)
	}
	return nil
}

// needsExchange reports whether the next exchange with the peer should follow at once:
// the peer has asked for this instance's newer configuration, or this instance may now
// ask for the peer's newer configuration or for an instance list that it needs.
func (p *Peers) needsExchange(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[address]
	if !ok {
		return false
	}
	inForce, _ := p.Store.Current()
	if inForce.Configuration.Newer(peer.configuration()) {
		return peer.wantsConfiguration
	}
	if p.needsList(peer, p.Store.knownListRevision()) {
		return true
	}
	return peer.configuration().Newer(inForce.Configuration) && p.Clock.Now() >= p.fetchPendingUntil
}

// configuration returns the peer's configuration in force, with only its version and
// digest.
func (s *peerState) configuration() Configuration {
	return Configuration{Version: s.configurationVersion, Digest: s.configurationDigest}
}

// lostAfterFailures is the number of consecutive failed exchanges after which a peer
// is logged as lost.
const lostAfterFailures = 3

// recordFailure records a failed call to the peer.
func (p *Peers) recordFailure(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.peers[address]; ok {
		peer.tried = true
		peer.lastError = err.Error()
		peer.consecutiveFailures++
		p.invalidateViews()
		if peer.consecutiveFailures == lostAfterFailures {
			p.Log.Info("peer lost", "peer", peer.info.Name, "address", address, "error", err.Error())
		}
	}
}

// recordTimeout records that an exchange timed out. It closes the connection after every
// ReconnectAfterTimeouts consecutive timeouts. Other failures don't need this: a broken
// connection is replaced anyway, and on a connection that a stopping peer closes, the
// requests in flight are still answered.
func (p *Peers) recordTimeout(address string) {
	if p.countTimeout(address)%ReconnectAfterTimeouts == 0 {
		p.Client.CloseConnection(address)
	}
}

// countTimeout returns the number of consecutive timeouts, this one included. For an unknown peer it
// returns 1.
func (p *Peers) countTimeout(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[address]
	if !ok {
		return 1
	}
	peer.consecutiveTimeouts++
	return peer.consecutiveTimeouts
}

// messageFor returns the next message to the peer. It reports false for an unknown peer.
func (p *Peers) messageFor(address string) (ExchangeMessage, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[address]
	if !ok {
		return ExchangeMessage{}, false
	}
	return p.buildMessage(peer), true
}

// buildMessage returns the next message to the peer. The caller holds the lock.
func (p *Peers) buildMessage(peer *peerState) ExchangeMessage {
	self := p.Self
	self.Leaving = p.leaving
	message := ExchangeMessage{
		From:            self,
		PlatformAge:     p.Store.PlatformAge(),
		Joining:         p.joining(),
		Known:           p.sampleKnown(peer),
		SeenIncarnation: peer.info.Incarnation,
		SeenSequence:    peer.seenSequence,
	}
	if inForce, ok := p.Store.Current(); ok {
		message.ConfigurationVersion = inForce.Configuration.Version
		message.ConfigurationDigest = inForce.Configuration.Digest
		if peer.wantsConfiguration && inForce.Configuration.Newer(peer.configuration()) {
			message.Configuration = inForce.Configuration.Raw
		}
	}
	message.Wants = p.claimFetch(peer)
	list := p.Store.List()
	message.ListRevision = list.Revision
	message.WantsList = p.claimListFetch(peer, p.Store.knownListRevision())
	if peer.wantsList && list.Revision > peer.listRevision {
		raw, err := p.Store.EncodedList()
		if err != nil {
			p.Log.Error(err, "failed to send the instance list to peer", "peer", peer.info.Name)
		}
		message.InstanceList = raw
	}
	message.Facts, message.Sequence = p.Facts.Since(peer.ackedSequence)
	return message
}

// claimListFetch reports whether to ask the peer for its instance list. If so, no other peer
// is asked for ExchangeTimeoutMillis. The caller holds the lock.
func (p *Peers) claimListFetch(peer *peerState, revision Revision) bool {
	if !p.needsList(peer, revision) {
		return false
	}
	p.listFetchPendingUntil = p.Clock.Now() + ExchangeTimeoutMillis
	return true
}

// needsList reports whether this instance needs the peer's instance list: the list is newer,
// this instance sends requests to upstreams itself, its own reads of the list have failed or
// ceased, and no request for another peer's list is pending. The caller holds the lock.
func (p *Peers) needsList(peer *peerState, revision Revision) bool {
	return peer.listRevision > revision && p.Clock.Now() >= p.listFetchPendingUntil &&
		len(p.currentDelegation().delegates) == 0 && p.Store.ListReadAge() > ListMaxAgeMillis
}

// sampleKnown returns a random sample of the instances that were heard from within
// KnownPeerTTLMillis, other than the peer itself. With Delegate, the instances with the
// greatest capacity fill half of it. The caller holds the lock.
func (p *Peers) sampleKnown(peer *peerState) []KnownPeer {
	now := p.Clock.Now()
	var known []KnownPeer
	for _, other := range p.peers {
		if age := now - other.heardAt; other != peer && other.info.Incarnation != 0 && age <= KnownPeerTTLMillis {
			known = append(known, KnownPeer{Info: other.info, Age: age})
		}
	}
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	if p.Delegate {
		moveLargestFirst(known, KnownPeerSample/2)
	}
	return append(known[:min(len(known), KnownPeerSample)], p.census.sampleLost(now)...)
}

// moveLargestFirst moves the count instances with the greatest capacity to the front,
// so that new instances soon learn of those that they can delegate to.
func moveLargestFirst(known []KnownPeer, count int) {
	for i := range min(count, len(known)) {
		largest := i
		for j := range known[i:] {
			if known[i+j].Info.Capacity > known[largest].Info.Capacity {
				largest = i + j
			}
		}
		known[i], known[largest] = known[largest], known[i]
	}
}

// learnPeers adds or updates the instances that a peer has reported. The caller holds the
// lock.
func (p *Peers) learnPeers(known []KnownPeer) {
	now := p.Clock.Now()
	for _, k := range known {
		address := k.Info.Address
		if address != p.Self.Address {
			p.census.record(k.Info, now-k.Age)
		}
		if address == "" || address == p.Self.Address || k.Age > KnownPeerTTLMillis {
			continue
		}
		peer, ok := p.peers[address]
		if !ok {
			if len(p.peers) >= MaxKnownPeers {
				continue
			}
			peer = &peerState{address: address}
			p.peers[address] = peer
			p.signalLinks()
		}
		if heardAt := now - k.Age; heardAt > peer.heardAt {
			if k.Info.Incarnation != peer.info.Incarnation {
				peer.consecutiveFailures = 0
			}
			peer.info = k.Info
			peer.heardAt = heardAt
		}
	}
}

// claimFetch reports whether to ask the peer for its configuration: it is newer, and
// no request for another peer's configuration is pending. If so, no other peer is asked
// for ExchangeTimeoutMillis. The caller holds the lock.
func (p *Peers) claimFetch(peer *peerState) bool {
	now := p.Clock.Now()
	inForce, _ := p.Store.Current()
	if now < p.fetchPendingUntil || !peer.configuration().Newer(inForce.Configuration) {
		return false
	}
	p.fetchPendingUntil = now + ExchangeTimeoutMillis
	return true
}

// Receive processes a peer's message and returns the reply to it.
func (p *Peers) Receive(message ExchangeMessage) ExchangeMessage {
	address := message.From.Address
	p.mu.Lock()
	if _, ok := p.peers[address]; !ok && address != p.Self.Address && len(p.peers) < MaxKnownPeers {
		p.peers[address] = &peerState{address: address}
	}
	p.mu.Unlock()
	if p.failing(address) {
		p.Client.ResetBackoff(address)
	}
	p.handleMessage(address, message)
	reply, _ := p.messageFor(address)
	return reply
}

// failing reports whether the last exchange with the peer failed.
func (p *Peers) failing(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[address].failures() > 0
}

// handleMessage processes a message or a reply from the peer at the address.
func (p *Peers) handleMessage(address string, message ExchangeMessage) {
	p.mu.Lock()
	wasJoining := p.joining()
	if peer, ok := p.peers[address]; ok {
		if peer.consecutiveFailures > 0 || peer.info.Leaving != message.From.Leaving {
			p.invalidateViews()
		}
		if peer.consecutiveFailures >= lostAfterFailures || peer.info.Incarnation != message.From.Incarnation {
			p.Log.Info("peer heard", "peer", message.From.Name, "address", address, "incarnation", message.From.Incarnation)
		}
		peer.update(message, p.Self.Incarnation, p.Clock.Now())
		p.census.record(message.From, p.Clock.Now())
	}
	p.learnPeers(message.Known)
	p.heardFromJoined = p.heardFromJoined || !message.Joining
	if p.firstMessageAt == 0 {
		p.firstMessageAt = p.Clock.Now()
		p.invalidateViews()
	}
	if wasJoining && !p.joining() {
		p.signalDelegation()
	}
	p.mu.Unlock()
	p.Store.RecordPlatformContact(message.PlatformAge)
	if len(message.Configuration) > 0 {
		_, err := p.Store.UpdateConfiguration(message.Configuration, "peer "+message.From.Name)
		p.finishFetch(err)
	}
	if len(message.InstanceList) > 0 {
		p.finishListFetch()
		if _, err := p.Store.UpdateEncodedInstanceList(message.InstanceList); err != nil {
			p.Log.Error(err, "instance list from peer refused", "peer", message.From.Name)
		}
	}
	for _, fact := range message.Facts {
		if p.Facts.Merge(fact) {
			p.Apply(fact)
		}
	}
}

// finishListFetch ends the pending request for an instance list.
func (p *Peers) finishListFetch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listFetchPendingUntil = 0
}

// finishFetch ends the pending request for a configuration. After a refused
// configuration, no peer is asked for PeerBackoffMaxMillis.
func (p *Peers) finishFetch(refused error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetchPendingUntil = 0
	if refused != nil {
		p.fetchPendingUntil = p.Clock.Now() + PeerBackoffMaxMillis
	}
}

// update stores the state that the peer reports in a message. self is the incarnation of
// this instance.
func (s *peerState) update(message ExchangeMessage, self uint64, now Millis) {
	if message.From.Incarnation != s.info.Incarnation {
		s.ackedSequence, s.seenSequence = 0, 0
	}
	s.info = message.From
	s.heardAt = now
	s.tried = true
	s.lastError = ""
	s.consecutiveFailures = 0
	s.consecutiveTimeouts = 0
	s.configurationVersion = message.ConfigurationVersion
	s.configurationDigest = message.ConfigurationDigest
	s.wantsConfiguration = message.Wants
	s.wantsList = message.WantsList
	s.listRevision = message.ListRevision
	s.seenSequence = max(s.seenSequence, message.Sequence)
	if message.SeenIncarnation == self {
		s.ackedSequence = max(s.ackedSequence, message.SeenSequence)
	}
}
