package core

import (
	"context"
	"errors"
	"math/rand/v2"
)

// PeerInfo is what an instance says of itself.
type PeerInfo struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
	Leaving     bool
	// Capacity is the processor time of the instance, in thousandths of a core.
	Capacity int
}

// KnownPeer is an instance that was heard of some time ago.
type KnownPeer struct {
	Info PeerInfo
	Age  Millis
}

// Exchange is what one instance tells another, in a request and in its reply.
type Exchange struct {
	From PeerInfo
	// ConfigurationVersion and ConfigurationDigest name the sender's
	// configuration in force; Configuration is set when the receiver lacks it
	// and has asked for it.
	ConfigurationVersion uint64
	ConfigurationDigest  string
	Configuration        []byte
	// Wants asks for a newer configuration. An instance asks one peer at a time.
	Wants bool
	// ListRevision names the sender's instance list; InstanceList is set when
	// the receiver lacks it and has asked for it by WantsList.
	ListRevision uint64
	InstanceList []byte
	WantsList    bool
	// PlatformAge is how long ago the sender last had news of the platform.
	PlatformAge Millis
	// Joining is set while the sender may not know of all that it could delegate to.
	Joining bool
	// Known are some of the other instances that the sender has heard of lately.
	Known []KnownPeer
	// Facts are new to the receiver; Sequence is the sender's last one.
	Facts    []Fact
	Sequence uint64
	// SeenIncarnation and SeenSequence are how far the sender has taken in the
	// receiver's facts.
	SeenIncarnation uint64
	SeenSequence    uint64
}

// exchange sends what is new to the peer and takes in what it answers.
func (p *Peers) exchange(ctx context.Context, address string) error {
	message, ok := p.message(address)
	if !ok {
		return nil
	}
	limited, cancel := p.Clock.WithDeadline(ctx, p.Clock.Now()+ExchangeTimeoutMillis)
	defer cancel()
	p.Counters.Add(CountPeerExchanges, 1)
	if p.searching() && p.failing(address) {
		// Instances that start together find each other as soon as they listen.
		p.Client.Reachable(address)
	}
	reply, err := p.Client.Exchange(limited, address, message)
	if err != nil {
		p.Counters.Add(CountPeerFailures, 1)
		if errors.Is(limited.Err(), context.DeadlineExceeded) {
			p.noteSilence(address)
		}
		p.noteFailure(address, err)
		return err
	}
	p.absorb(address, reply)
	if p.behind(address) {
		p.kick(address)
	}
	return nil
}

// behind reports whether one of the two lacks a configuration that the other
// has and one has asked for it, or may do so now. The same goes for the instance
// list, where this instance depends on it.
func (p *Peers) behind(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[address]
	if !ok {
		return false
	}
	inForce, _ := p.Store.Current()
	if inForce.Configuration.Newer(peer.known()) {
		return peer.wants
	}
	if p.lacksList(peer, p.Store.List().Revision) {
		return true
	}
	return peer.known().Newer(inForce.Configuration) && p.Clock.Now() >= p.fetching
}

// known returns the configuration that the peer has in force.
func (s *peerState) known() Configuration {
	return Configuration{Version: s.version, Digest: s.digest}
}

// lostAfterFailures is how many failed exchanges in a row make a peer lost.
const lostAfterFailures = 3

func (p *Peers) noteFailure(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.peers[address]; ok {
		peer.tried = true
		peer.lastError = err.Error()
		peer.failuresInRow++
		p.delegation.until = 0
		if peer.failuresInRow == lostAfterFailures {
			p.Log.Info("peer lost", "peer", peer.info.Name, "address", address, "error", err.Error())
		}
	}
}

// noteSilence takes in that an exchange was not answered in time. After several in a row
// the connection is closed; one that broke is replaced without that, and requests that
// are under way on one that a stopping peer closes are still answered.
func (p *Peers) noteSilence(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.peers[address]; ok {
		peer.silentInRow++
		if peer.silentInRow%ReconnectAfterSilence == 0 {
			p.Client.Forget(address)
		}
	}
}

// message returns what the peer is told now.
func (p *Peers) message(address string) (Exchange, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[address]
	if !ok {
		return Exchange{}, false
	}
	return p.compose(peer), true
}

func (p *Peers) compose(peer *peerState) Exchange {
	self := p.Self
	self.Leaving = p.leaving
	message := Exchange{
		From:            self,
		PlatformAge:     p.Store.PlatformAge(),
		Joining:         p.joining(),
		Known:           p.sample(peer),
		SeenIncarnation: peer.info.Incarnation,
		SeenSequence:    peer.seen,
	}
	if inForce, ok := p.Store.Current(); ok {
		message.ConfigurationVersion = inForce.Configuration.Version
		message.ConfigurationDigest = inForce.Configuration.Digest
		if peer.wants && inForce.Configuration.Newer(peer.known()) {
			message.Configuration = inForce.Configuration.Raw
		}
	}
	message.Wants = p.mayFetch(peer)
	list := p.Store.List()
	message.ListRevision = list.Revision
	message.WantsList = p.mayFetchList(peer, list.Revision)
	if peer.wantsList && list.Revision > peer.listRevision {
		raw, err := p.Store.EncodedList()
		if err != nil {
			p.Log.Error(err, "peer not told the instance list", "peer", peer.info.Name)
		}
		message.InstanceList = raw
	}
	message.Facts, message.Sequence = p.Facts.Since(peer.acked)
	return message
}

// mayFetchList reports whether the peer is asked for its instance list. The caller holds the
// lock.
func (p *Peers) mayFetchList(peer *peerState, revision uint64) bool {
	if !p.lacksList(peer, revision) {
		return false
	}
	p.fetchingList = p.Clock.Now() + ExchangeTimeoutMillis
	return true
}

// lacksList reports whether this instance needs the peer's instance list: it is newer, this
// instance sends requests to upstreams and does not read the platform itself, and no list
// that another peer was asked for is awaited. The caller holds the lock.
func (p *Peers) lacksList(peer *peerState, revision uint64) bool {
	return peer.listRevision > revision && p.Clock.Now() >= p.fetchingList &&
		len(p.currentDelegation().to) == 0 && p.Store.ListReadAge() > ListSilenceMillis
}

// sample returns some of the instances that were heard of lately, drawn anew for
// each message. The caller holds the lock.
func (p *Peers) sample(peer *peerState) []KnownPeer {
	now := p.Clock.Now()
	var known []KnownPeer
	for _, other := range p.peers {
		if age := now - other.heardAt; other != peer && other.info.Incarnation != 0 && age <= KnownPeerMillis {
			known = append(known, KnownPeer{Info: other.info, Age: age})
		}
	}
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	if p.Delegate {
		putStrongestFirst(known, KnownPeerSample/2)
	}
	return known[:min(len(known), KnownPeerSample)]
}

// putStrongestFirst moves the given number of instances with the greatest capacity to
// the front, so that new instances soon know whom to delegate to.
func putStrongestFirst(known []KnownPeer, count int) {
	for i := range min(count, len(known)) {
		strongest := i
		for j := range known[i:] {
			if known[i+j].Info.Capacity > known[strongest].Info.Capacity {
				strongest = i + j
			}
		}
		known[i], known[strongest] = known[strongest], known[i]
	}
}

// learn takes in instances that a peer has heard of. The caller holds the lock.
func (p *Peers) learn(known []KnownPeer) {
	now := p.Clock.Now()
	for _, k := range known {
		address := k.Info.Address
		if address == "" || address == p.Self.Address || k.Age > KnownPeerMillis {
			continue
		}
		peer, ok := p.peers[address]
		if !ok {
			peer = &peerState{address: address}
			p.peers[address] = peer
			p.signalLinks()
		}
		if heardAt := now - k.Age; heardAt > peer.heardAt {
			if k.Info.Incarnation != peer.info.Incarnation {
				peer.failuresInRow = 0
			}
			peer.info = k.Info
			peer.heardAt = heardAt
		}
	}
}

// mayFetch reports whether the peer is asked for its configuration: it is newer,
// and none that another peer was asked for is awaited.
func (p *Peers) mayFetch(peer *peerState) bool {
	now := p.Clock.Now()
	inForce, _ := p.Store.Current()
	if now < p.fetching || !peer.known().Newer(inForce.Configuration) {
		return false
	}
	p.fetching = now + ExchangeTimeoutMillis
	return true
}

// Receive takes in a peer's message and returns the reply to it.
func (p *Peers) Receive(message Exchange) Exchange {
	address := message.From.Address
	p.mu.Lock()
	if _, ok := p.peers[address]; !ok && address != p.Self.Address {
		p.peers[address] = &peerState{address: address}
	}
	p.mu.Unlock()
	if p.failing(address) {
		p.Client.Reachable(address)
	}
	p.absorb(address, message)
	reply, _ := p.message(address)
	return reply
}

// failing reports whether the last exchange with the peer failed.
func (p *Peers) failing(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[address].failures() > 0
}

// absorb takes in what a peer said.
func (p *Peers) absorb(address string, message Exchange) {
	p.mu.Lock()
	if peer, ok := p.peers[address]; ok {
		if peer.failuresInRow > 0 || peer.info.Leaving != message.From.Leaving {
			p.delegation.until = 0
		}
		if peer.failuresInRow >= lostAfterFailures || peer.info.Incarnation != message.From.Incarnation {
			p.Log.Info("peer heard", "peer", message.From.Name, "address", address, "incarnation", message.From.Incarnation)
		}
		peer.update(message, p.Self.Incarnation, p.Clock.Now())
	}
	p.learn(message.Known)
	p.introduced = p.introduced || !message.Joining
	if p.metAt == 0 {
		p.metAt = p.Clock.Now()
	}
	p.mu.Unlock()
	p.Store.HeardPlatform(message.PlatformAge)
	if len(message.Configuration) > 0 {
		_, err := p.Store.OfferConfiguration(message.Configuration, "peer "+message.From.Name)
		p.fetched(err)
	}
	if len(message.InstanceList) > 0 {
		p.fetchedList()
		if _, err := p.Store.OfferInstanceList(message.InstanceList); err != nil {
			p.Log.Error(err, "instance list of a peer refused", "peer", message.From.Name)
		}
	}
	for _, fact := range message.Facts {
		if p.Facts.Merge(fact) {
			p.Apply(fact)
		}
	}
}

// fetchedList ends the wait for an instance list.
func (p *Peers) fetchedList() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetchingList = 0
}

// fetched ends the wait for a configuration. After one that is refused here, no
// peer is asked again for a while.
func (p *Peers) fetched(refused error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching = 0
	if refused != nil {
		p.fetching = p.Clock.Now() + PeerRetryMaxMillis
	}
}

func (s *peerState) update(message Exchange, self uint64, now Millis) {
	if message.From.Incarnation != s.info.Incarnation {
		s.acked, s.seen = 0, 0
	}
	s.info = message.From
	s.heardAt = now
	s.tried = true
	s.lastError = ""
	s.failuresInRow = 0
	s.silentInRow = 0
	s.version = message.ConfigurationVersion
	s.digest = message.ConfigurationDigest
	s.wants = message.Wants
	s.wantsList = message.WantsList
	s.listRevision = message.ListRevision
	s.seen = max(s.seen, message.Sequence)
	if message.SeenIncarnation == self {
		s.acked = max(s.acked, message.SeenSequence)
	}
}
