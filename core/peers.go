package core

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
)

// PeerClient sends gossip messages to other instances.
type PeerClient interface {
	// Exchange sends a message to the peer at the address and returns its reply.
	Exchange(ctx context.Context, address string, message ExchangeMessage) (ExchangeMessage, error)
	// CloseConnection closes the connection to an address.
	CloseConnection(address string)
	// ResetBackoff reports that the peer at the address may accept connections, so
	// that the client ends its backoff before the next connection attempt.
	ResetBackoff(address string)
}

// PeersConfig holds the dependencies and settings of Peers.
type PeersConfig struct {
	Self PeerInfo
	// Seeds are the addresses of peers that are known from the start and never removed.
	Seeds    []string
	Clock    Clock
	Client   PeerClient
	Store    *Store
	Facts    *FactLog
	Counters *Counters
	Log      logr.Logger
	// ReadersPerZone is how many instances of a zone watch the platform. With Delegate,
	// it is not used: all instances that send requests to upstreams watch the platform.
	ReadersPerZone int
	// ExchangeInterval is the delay between two exchanges with one peer, unless this
	// instance is joining or delegates its requests.
	ExchangeInterval Millis
	// ExchangePerInstance, multiplied by the number of instances that send requests to
	// upstreams, replaces ExchangeInterval if the product is longer.
	ExchangePerInstance Millis
	// JoinTimeout is the maximum time after its start for which an instance waits to learn of
	// instances that it may delegate requests to.
	JoinTimeout Millis
	// JoinGossipTimeout is the maximum time that it waits after its first message from another
	// instance.
	JoinGossipTimeout Millis
	// KeepCensus remembers instances that were not heard from of late, for ColdShare.
	KeepCensus bool
	// Delegate lets an instance delegate requests to others, which send them to upstreams.
	Delegate bool
	// Apply is called with each fact that this instance did not know.
	Apply func(Fact)
}

// Peers tracks the other instances and gossips with them. It runs one task for
// each linked peer, that is, each peer that it exchanges messages with.
type Peers struct {
	PeersConfig

	// mu is needed by each request. It is not held during calls of Client.
	mu      sync.Mutex
	leaving bool
	peers   map[string]*peerState
	tasks   map[string]peerTask
	// fetchPendingUntil is the time before which no peer is asked for its configuration,
	// because a request to another peer is pending or a peer's configuration was refused.
	fetchPendingUntil Millis
	// listFetchPendingUntil is the time before which no peer is asked for its instance
	// list, because a request to another peer is pending.
	listFetchPendingUntil Millis
	delegation            delegation
	senders               senderView
	// delegationChanges are the channels that SubscribeDelegation has returned.
	delegationChanges []chan struct{}
	startedAt         Millis
	// heardFromJoined is set after a message from an instance that has finished joining.
	heardFromJoined bool
	// firstMessageAt is the time of the first message from another instance, or zero.
	firstMessageAt Millis
	// census is nil unless KeepCensus is set.
	census *census
	// livenessChecks lets requests share the exchange that checks whether a peer responds.
	livenessChecks singleflight.Group
	// relink signals that a new instance was learned of and the links must be recomputed.
	relink chan struct{}
}

// peerState holds what this instance knows about one peer.
type peerState struct {
	address string
	info    PeerInfo
	// heardAt is when the peer last sent a message, to this instance or to one that
	// reported it.
	heardAt Millis
	// tried is set once an exchange with the peer has ended, successfully or not.
	tried bool
	// ackedSequence is the last fact of this instance that the peer has acknowledged.
	ackedSequence uint64
	// seenSequence is the last fact of the peer that this instance has received.
	seenSequence         uint64
	configurationVersion uint64
	configurationDigest  string
	wantsConfiguration   bool
	listRevision         Revision
	wantsList            bool
	lastError            string
	consecutiveFailures  int
	// busyUntil is when the peer may again be sent offloaded requests and shards to
	// gather.
	busyUntil Millis
	// consecutiveTimeouts counts the timed-out exchanges since the last message.
	consecutiveTimeouts int
}

// peerTask is the task that exchanges messages with one linked peer.
type peerTask struct {
	cancel  context.CancelFunc
	wakeups chan struct{}
}

// NewPeers returns a Peers that knows only the seeds.
func NewPeers(config PeersConfig) *Peers {
	config.Seeds = slices.Clone(config.Seeds)
	p := &Peers{PeersConfig: config, peers: map[string]*peerState{}, tasks: map[string]peerTask{}, relink: make(chan struct{}, 1)}
	p.startedAt = config.Clock.Now()
	if config.KeepCensus {
		p.census = newCensus()
	}
	for _, address := range config.Seeds {
		if address != config.Self.Address {
			p.peers[address] = &peerState{address: address}
		}
	}
	return p
}

// AddSeeds adds addresses to the seeds.
func (p *Peers) AddSeeds(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if address == p.Self.Address || slices.Contains(p.Seeds, address) {
			continue
		}
		p.Seeds = append(p.Seeds, address)
		if _, ok := p.peers[address]; !ok {
			p.peers[address] = &peerState{address: address}
		}
	}
}

// Run runs a task for each linked peer until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	var group errgroup.Group
	facts := p.Facts.Subscribe()
	published := p.Store.Subscribe()
	for {
		p.reconcile(ctx, &group)
		select {
		case <-facts:
			p.wakeAll()
		case <-published:
			p.wakeAll()
		case <-p.relink:
			_ = p.Clock.Sleep(ctx, relinkDelayMillis)
		case <-p.Clock.After(2 * p.ExchangeInterval):
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// relinkDelayMillis is the delay before the links are recomputed after a new
// instance was learned of, so that several new instances are linked together.
const relinkDelayMillis = 100 * Millis(1)

// signalLinks makes Run recompute the links.
func (p *Peers) signalLinks() {
	select {
	case p.relink <- struct{}{}:
	default:
	}
}

// wakeAll makes all tasks start their next exchange now.
func (p *Peers) wakeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, task := range p.tasks {
		task.wake()
	}
}

// wakeTask makes the task of one peer start its next exchange now.
func (p *Peers) wakeTask(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if task, ok := p.tasks[address]; ok {
		task.wake()
	}
}

// wake ends the delay before the task's next exchange.
func (t peerTask) wake() {
	select {
	case t.wakeups <- struct{}{}:
	default:
	}
}

// reconcile starts and stops tasks so that each linked peer has one, and closes the connections to
// removed peers.
func (p *Peers) reconcile(ctx context.Context, group *errgroup.Group) {
	for _, address := range p.updateTasks(ctx, group) {
		p.Client.CloseConnection(address)
	}
}

// updateTasks starts and stops tasks, and returns the addresses of the removed peers.
func (p *Peers) updateTasks(ctx context.Context, group *errgroup.Group) (removed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	removed = p.applyInstanceList()
	links := NewSet(p.links()...)
	for address, task := range p.tasks {
		if !links.Has(address) {
			task.cancel()
			delete(p.tasks, address)
		}
	}
	for address := range links {
		if _, ok := p.tasks[address]; ok {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		task := peerTask{cancel: cancel, wakeups: make(chan struct{}, 1)}
		p.tasks[address] = task
		group.Go(func() error {
			p.runExchanges(taskCtx, address, task.wakeups)
			return nil
		})
	}
	return removed
}

// applyInstanceList adds the entry instances of the instance list to the peers. It
// removes each peer that is neither listed nor a seed and that has not been heard from
// for KnownPeerTTLMillis, and returns their addresses. The caller holds the lock.
func (p *Peers) applyInstanceList() (removed []string) {
	keep := NewSet(p.Seeds...)
	for _, m := range p.Store.List().Members {
		if m.Role != RoleEntry || m.Address == p.Self.Address {
			continue
		}
		keep.Add(m.Address)
		if _, ok := p.peers[m.Address]; !ok {
			p.peers[m.Address] = &peerState{address: m.Address}
		}
	}
	now := p.Clock.Now()
	for address, peer := range p.peers {
		if !keep.Has(address) && now-peer.heardAt > KnownPeerTTLMillis {
			delete(p.peers, address)
			removed = append(removed, address)
		}
	}
	return removed
}

// links returns the addresses of the peers to exchange messages with: all peers in a
// small fleet, otherwise peers at exponentially growing distances on a ring, so that
// news reaches all instances in a logarithmic number of exchanges. In a large fleet in
// which some instances delegate requests, delegationLinks selects the peers on the ring.
// The caller holds the lock.
func (p *Peers) links() []string {
	if p.Delegate && len(p.peers) > MaxPeerLinks {
		if links := p.delegationLinks(); len(links) > 0 {
			return RingLinks(p.Self.Address, links, MaxPeerLinks)
		}
	}
	addresses := make([]string, 0, len(p.peers)+1)
	for address := range p.peers {
		addresses = append(addresses, address)
	}
	return RingLinks(p.Self.Address, addresses, MaxPeerLinks)
}

// runExchanges exchanges messages with one peer until ctx ends.
func (p *Peers) runExchanges(ctx context.Context, address string, wakeups <-chan struct{}) {
	for ctx.Err() == nil {
		err := p.exchange(ctx, address)
		delay := p.nextDelay(address)
		if err != nil {
			delay = p.backoff(address)
		}
		select {
		case <-wakeups:
		case <-p.Clock.After(delay):
		case <-ctx.Done():
		}
	}
}

// nextDelay returns the delay between two successful exchanges with the peer.
func (p *Peers) nextDelay(address string) Millis {
	delegates := p.Delegates()
	switch {
	case p.Joining():
		return JoinExchangeMillis
	case len(delegates) > 0 && delegates[0].Address == address:
		return DelegateExchangeMillis
	case len(delegates) > 0:
		return jitter(SpareExchangeMillis)
	}
	return max(p.ExchangeInterval, Millis(p.SenderCount())*p.ExchangePerInstance)
}

// backoff returns the delay after a failed exchange with the peer.
func (p *Peers) backoff(address string) Millis {
	if p.discovering() {
		return JoinRetryMillis
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	failures := p.peers[address].failures()
	return min(p.ExchangeInterval<<min(failures, 3), PeerBackoffMaxMillis)
}

// discovering reports whether this instance started less than JoinSearchMillis ago and has
// not received a message from another instance yet.
func (p *Peers) discovering() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.JoinTimeout > 0 && p.firstMessageAt == 0 && p.Clock.Since(p.startedAt) < JoinSearchMillis
}

// failures returns the number of consecutive failed exchanges. It is zero for an unknown peer.
func (s *peerState) failures() int {
	if s == nil {
		return 0
	}
	return s.consecutiveFailures
}

// ExchangeWithAll exchanges messages with all live peers concurrently. It returns when all
// exchanges have ended, at the latest soon after ctx ends.
func (p *Peers) ExchangeWithAll(ctx context.Context) {
	var group errgroup.Group
	for _, peer := range p.Alive() {
		group.Go(func() error {
			return p.exchange(ctx, peer.Address)
		})
	}
	_ = group.Wait()
}

// Alive returns the peers that were heard from within PeerAliveMillis, sorted by name.
func (p *Peers) Alive() []PeerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var alive []PeerInfo
	for _, peer := range p.peers {
		if peer.info.Incarnation != 0 && now-peer.heardAt <= PeerAliveMillis {
			alive = append(alive, peer.info)
		}
	}
	slices.SortFunc(alive, func(a, b PeerInfo) int { return cmp.Compare(a.Name, b.Name) })
	return alive
}

// KnownAddress returns the address of the instance with the name. If no such instance was heard of, it
// returns the given address if it is that of a seed that has not been heard from yet.
func (p *Peers) KnownAddress(name, address string) Option[string] {
	p.mu.Lock()
	defer p.mu.Unlock()
	for known, peer := range p.peers {
		if peer.info.Name == name {
			return Some(known)
		}
	}
	if peer, ok := p.peers[address]; ok && peer.info.Name == "" {
		return Some(address)
	}
	return None[string]()
}

// InstanceCount returns the number of known instances: this one and those that were heard
// from within KnownPeerTTLMillis, directly or through other peers.
func (p *Peers) InstanceCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	count := 1
	for _, peer := range p.peers {
		if peer.info.Incarnation != 0 && now-peer.heardAt <= KnownPeerTTLMillis {
			count++
		}
	}
	return count
}

// Successors returns the addresses of live peers that are not leaving, with those of
// the instance's own zone first.
func (p *Peers) Successors() []string {
	alive := slices.DeleteFunc(p.Alive(), func(o PeerInfo) bool { return o.Leaving })
	slices.SortStableFunc(alive, func(a, b PeerInfo) int {
		return cmp.Compare(p.zoneDistance(a), p.zoneDistance(b))
	})
	addresses := make([]string, len(alive))
	for i, peer := range alive {
		addresses[i] = peer.Address
	}
	return addresses
}

// zoneDistance returns 0 for a peer in the instance's own zone and 1 for any other.
func (p *Peers) zoneDistance(peer PeerInfo) int {
	if peer.Zone == p.Self.Zone {
		return 0
	}
	return 1
}

// AllTried reports whether an exchange with each linked peer has ended, successfully or
// not, and no request for a peer's configuration is pending. After a refused
// configuration, it is false for PeerBackoffMaxMillis.
func (p *Peers) AllTried() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.links() {
		if !p.peers[address].tried {
			return false
		}
	}
	return p.Clock.Now() >= p.fetchPendingUntil
}

// Leave makes the instance report to its linked peers that it is leaving.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.invalidateViews()
	p.mu.Unlock()
	p.wakeAll()
}

// ReadsPlatform reports whether this instance watches the platform. With Delegate, it does
// unless it delegates requests. Otherwise each instance ranks the names that it knows
// in its zone by their hashes, and the first ReadersPerZone watch. Instances that know
// different names may disagree; then a few more or fewer watch.
func (p *Peers) ReadsPlatform() bool {
	if p.Delegate {
		return len(p.Delegates()) == 0
	}
	rank := func(name string) uint64 { return xxhash.Sum64String("reader/" + name) }
	self := rank(p.Self.Name)
	before := 0
	for name := range p.zonePeers() {
		if rank(name) < self {
			before++
		}
	}
	return before < p.ReadersPerZone
}

// zonePeers returns the names of the other instances in the zone that are not
// leaving: the live peers, and the listed instances that are not known to be
// unresponsive.
func (p *Peers) zonePeers() Set[string] {
	names := NewSet[string]()
	for _, m := range p.Store.List().Members {
		if m.Role == RoleEntry && m.Zone == p.Self.Zone && !m.Leaving && !p.unresponsive(m.Address) {
			names.Add(m.Name)
		}
	}
	for _, peer := range p.Alive() {
		if peer.Zone == p.Self.Zone && !peer.Leaving {
			names.Add(peer.Name)
		}
	}
	delete(names, p.Self.Name)
	return names
}

// unresponsive reports whether the peer is linked, at least one exchange with it has
// ended, and it has not been heard from for PeerAliveMillis.
func (p *Peers) unresponsive(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, linked := p.tasks[address]
	peer, known := p.peers[address]
	return linked && known && peer.tried && p.Clock.Since(peer.heardAt) > PeerAliveMillis
}
