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

// PeerClient calls other instances.
type PeerClient interface {
	Exchange(ctx context.Context, address string, message Exchange) (Exchange, error)
	// Forget closes the connection to an address.
	Forget(address string)
	// Reachable says that the peer at the address was heard, so that a pause
	// before the next attempt to connect to it can end.
	Reachable(address string)
}

// PeersParts are what the view of the other instances is built from.
type PeersParts struct {
	Self     PeerInfo
	Seeds    []string
	Clock    Clock
	Client   PeerClient
	Store    *Store
	Facts    *FactLog
	Counters *Counters
	Log      logr.Logger
	// ReadersPerZone is how many instances of a zone watch the platform. With Delegate,
	// those that send requests to upstreams do.
	ReadersPerZone int
	// ExchangeInterval is the pause between two exchanges with one peer.
	ExchangeInterval Millis
	// ExchangePerInstance times the number of instances is the least pause.
	ExchangePerInstance Millis
	// Join is how long after its start an instance waits for word of instances that it
	// may delegate requests to, at most.
	Join Millis
	// JoinGossip is how long it waits for such word after it has heard the first instance.
	JoinGossip Millis
	// Delegate lets an instance delegate requests to others that send them to upstreams.
	Delegate bool
	// Apply takes in a fact that was new.
	Apply func(Fact)
}

// Peers is the instance's view of the other instances. One task for each linked
// peer exchanges news with it.
type Peers struct {
	PeersParts

	mu      sync.Mutex
	leaving bool
	peers   map[string]*peerState
	tasks   map[string]peerTask
	// fetching is until when a configuration that a peer was asked for is
	// awaited.
	fetching Millis
	// fetchingList is the same for an instance list.
	fetchingList Millis
	delegation   delegation
	// delegationChanges are the channels of those who wait for changes of it.
	delegationChanges []chan struct{}
	startedAt         Millis
	// introduced is set once an instance was heard that knows the others.
	introduced bool
	// metAt is when the first instance was heard, or zero.
	metAt Millis
	// questions lets requests share the exchange that finds out whether a peer responds.
	questions singleflight.Group
	// relink signals that an instance was heard of for the first time.
	relink chan struct{}
}

// peerState is what is known of one peer.
type peerState struct {
	address string
	info    PeerInfo
	heardAt Millis
	tried   bool
	// acked is how far the peer has taken in this instance's facts.
	acked uint64
	// seen is how far this instance has taken in the peer's facts.
	seen          uint64
	version       uint64
	digest        string
	wants         bool
	listRevision  uint64
	wantsList     bool
	lastError     string
	failuresInRow int
	// busyUntil is until when it gets no requests to relieve this instance.
	busyUntil Millis
	// silentInRow counts exchanges that were not answered in time.
	silentInRow int
}

type peerTask struct {
	cancel context.CancelFunc
	kick   chan struct{}
}

// NewPeers returns a view that knows the seeds only.
func NewPeers(parts PeersParts) *Peers {
	parts.Seeds = slices.Clone(parts.Seeds)
	p := &Peers{PeersParts: parts, peers: map[string]*peerState{}, tasks: map[string]peerTask{}, relink: make(chan struct{}, 1)}
	p.startedAt = parts.Clock.Now()
	for _, address := range parts.Seeds {
		if address != parts.Self.Address {
			p.peers[address] = &peerState{address: address}
		}
	}
	return p
}

// AddSeeds adds peers to ask.
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

// Run keeps a task for each linked peer until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	var group errgroup.Group
	facts := p.Facts.Subscribe()
	published := p.Store.Subscribe()
	for {
		p.reconcile(ctx, &group)
		select {
		case <-facts:
			p.kickAll()
		case <-published:
			p.kickAll()
		case <-p.relink:
			_ = p.Clock.Sleep(ctx, relinkPauseMillis)
		case <-p.Clock.After(2 * p.ExchangeInterval):
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// relinkPauseMillis lets several instances that were heard of be linked at once.
const relinkPauseMillis = 100 * Millis(1)

// signalLinks has the links be worked out anew.
func (p *Peers) signalLinks() {
	select {
	case p.relink <- struct{}{}:
	default:
	}
}

func (p *Peers) kickAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, task := range p.tasks {
		task.wake()
	}
}

func (p *Peers) kick(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if task, ok := p.tasks[address]; ok {
		task.wake()
	}
}

// wake ends the task's pause.
func (t peerTask) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// reconcile starts and ends tasks so that there is one for each link.
func (p *Peers) reconcile(ctx context.Context, group *errgroup.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnFromList()
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
		task := peerTask{cancel: cancel, kick: make(chan struct{}, 1)}
		p.tasks[address] = task
		group.Go(func() error {
			p.serve(taskCtx, address, task.kick)
			return nil
		})
	}
}

// learnFromList adds the listed entry instances and drops those that are
// neither listed, nor seeds, nor alive.
func (p *Peers) learnFromList() {
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
		if !keep.Has(address) && now-peer.heardAt > KnownPeerMillis {
			delete(p.peers, address)
			p.Client.Forget(address)
		}
	}
}

// links returns the peers to exchange with: all of a small fleet, else those at
// growing distances on a ring, so that news reaches all in a logarithmic number
// of exchanges. Where some instances delegate requests, they are linked differently.
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

// serve exchanges news with one peer until ctx ends.
func (p *Peers) serve(ctx context.Context, address string, kick <-chan struct{}) {
	for ctx.Err() == nil {
		err := p.exchange(ctx, address)
		pause := p.pause(address)
		if err != nil {
			pause = p.backoff(address)
		}
		select {
		case <-kick:
		case <-p.Clock.After(pause):
		case <-ctx.Done():
		}
	}
}

// pause returns the time between two exchanges with the peer.
func (p *Peers) pause(address string) Millis {
	delegates := p.Delegates()
	switch {
	case p.Joining():
		return JoinExchangeMillis
	case len(delegates) > 0 && delegates[0].Address == address:
		return DelegateExchangeMillis
	case len(delegates) > 0:
		return jitter(SpareExchangeMillis)
	}
	return max(p.ExchangeInterval, Millis(p.Senders())*p.ExchangePerInstance)
}

func (p *Peers) backoff(address string) Millis {
	if p.searching() {
		return JoinRetryMillis
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	failures := p.peers[address].failures()
	return min(p.ExchangeInterval<<min(failures, 3), PeerRetryMaxMillis)
}

// searching reports whether no other instance has been heard since the start, which was not
// long ago.
func (p *Peers) searching() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Join > 0 && p.metAt == 0 && p.Clock.Since(p.startedAt) < JoinSearchMillis
}

func (s *peerState) failures() int {
	if s == nil {
		return 0
	}
	return s.failuresInRow
}

// Tell exchanges with all peers that are alive at once and returns when they
// have answered or ctx ends.
func (p *Peers) Tell(ctx context.Context) {
	var group errgroup.Group
	for _, peer := range p.Alive() {
		group.Go(func() error {
			return p.exchange(ctx, peer.Address)
		})
	}
	_ = group.Wait()
}

// Alive returns the peers that were heard within PeerAliveMillis, by name.
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

// Size returns how many instances there are, as far as is known: this one and
// those that were heard of lately.
func (p *Peers) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	size := 1
	for _, peer := range p.peers {
		if peer.info.Incarnation != 0 && now-peer.heardAt <= KnownPeerMillis {
			size++
		}
	}
	return size
}

// Successors returns the addresses of live peers that are not leaving, those of
// the instance's own zone first.
func (p *Peers) Successors() []string {
	alive := slices.DeleteFunc(p.Alive(), func(o PeerInfo) bool { return o.Leaving })
	slices.SortStableFunc(alive, func(a, b PeerInfo) int {
		return cmp.Compare(p.distance(a), p.distance(b))
	})
	addresses := make([]string, len(alive))
	for i, peer := range alive {
		addresses[i] = peer.Address
	}
	return addresses
}

func (p *Peers) distance(peer PeerInfo) int {
	if peer.Zone == p.Self.Zone {
		return 0
	}
	return 1
}

// AllTried reports whether every linked peer has been asked at least once, and
// no newer configuration of one is awaited.
func (p *Peers) AllTried() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range p.links() {
		if !p.peers[address].tried {
			return false
		}
	}
	return p.Clock.Now() >= p.fetching
}

// Leave makes the instance tell its peers that it is leaving.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.kickAll()
}

// Reader reports whether this instance is one of those in its zone that watch
// the platform. Views may differ; then a few more or fewer watch.
func (p *Peers) Reader() bool {
	if p.Delegate {
		return len(p.Delegates()) == 0
	}
	rank := func(name string) uint64 { return xxhash.Sum64String("reader/" + name) }
	self := rank(p.Self.Name)
	before := 0
	for name := range p.zoneMates() {
		if rank(name) < self {
			before++
		}
	}
	return before < p.ReadersPerZone
}

// zoneMates returns the names of the other instances in the zone that are not
// leaving: those heard from, and those listed that are not known to be silent.
func (p *Peers) zoneMates() Set[string] {
	mates := NewSet[string]()
	for _, m := range p.Store.List().Members {
		if m.Role == RoleEntry && m.Zone == p.Self.Zone && !m.Leaving && !p.silent(m.Address) {
			mates.Add(m.Name)
		}
	}
	for _, peer := range p.Alive() {
		if peer.Zone == p.Self.Zone && !peer.Leaving {
			mates.Add(peer.Name)
		}
	}
	delete(mates, p.Self.Name)
	return mates
}

// silent reports whether a linked peer has been asked and not been heard of late.
func (p *Peers) silent(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, linked := p.tasks[address]
	peer, known := p.peers[address]
	return linked && known && peer.tried && p.Clock.Since(peer.heardAt) > PeerAliveMillis
}

// PeerStatus is the view of one peer, for the state dump.
type PeerStatus struct {
	Info                 PeerInfo
	Address              string
	HeardAt              Millis
	ConfigurationVersion uint64
	LastError            string
}

// State returns the view of all peers by address.
func (p *Peers) State() []PeerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]PeerStatus, 0, len(p.peers))
	for _, peer := range p.peers {
		states = append(states, PeerStatus{
			Info:                 peer.info,
			Address:              peer.address,
			HeardAt:              peer.heardAt,
			ConfigurationVersion: peer.version,
			LastError:            peer.lastError,
		})
	}
	slices.SortFunc(states, func(a, b PeerStatus) int { return cmp.Compare(a.Address, b.Address) })
	return states
}
