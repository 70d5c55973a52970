package core

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

// PeerInfo is what an instance says of itself.
type PeerInfo struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
	Leaving     bool
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
	// the receiver lacks it.
	ListRevision uint64
	InstanceList []byte
	// PlatformAge is how long ago the sender last had news of the platform.
	PlatformAge Millis
	// Facts are new to the receiver; Sequence is the sender's last one.
	Facts    []Fact
	Sequence uint64
	// SeenIncarnation and SeenSequence are how far the sender has taken in the
	// receiver's facts.
	SeenIncarnation uint64
	SeenSequence    uint64
}

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
	lastError     string
	failuresInRow int
}

type peerTask struct {
	cancel context.CancelFunc
	kick   chan struct{}
}

// NewPeers returns a view that knows the seeds only.
func NewPeers(parts PeersParts) *Peers {
	p := &Peers{PeersParts: parts, peers: map[string]*peerState{}, tasks: map[string]peerTask{}}
	for _, address := range parts.Seeds {
		if address != parts.Self.Address {
			p.peers[address] = &peerState{address: address}
		}
	}
	return p
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
		case <-p.Clock.After(2 * ExchangeIntervalMillis):
		case <-ctx.Done():
			return group.Wait()
		}
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
		if !keep.Has(address) && now-peer.heardAt > PeerAliveMillis {
			delete(p.peers, address)
			p.Client.Forget(address)
		}
	}
}

// links returns the peers to exchange with: all of a small fleet, else those at
// growing distances on a ring, so that news reaches all in a logarithmic number
// of exchanges.
func (p *Peers) links() []string {
	addresses := make([]string, 0, len(p.peers)+1)
	for address := range p.peers {
		addresses = append(addresses, address)
	}
	return RingLinks(p.Self.Address, addresses, MaxPeerLinks)
}

// RingLinks returns which of the addresses an instance exchanges news with. Up
// to most they are all of them. Beyond, they are its successors at the distances
// 1, 2, 4 and so on, on a ring in the order of the hashes of the addresses.
func RingLinks(self string, others []string, most int) []string {
	if len(others) <= most {
		return others
	}
	ring := append(slices.Clone(others), self)
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(ring, self)
	var links []string
	for distance := 1; distance < len(ring) && len(links) < most; distance *= 2 {
		links = append(links, ring[(at+distance)%len(ring)])
	}
	return links
}

// serve exchanges news with one peer until ctx ends.
func (p *Peers) serve(ctx context.Context, address string, kick <-chan struct{}) {
	for ctx.Err() == nil {
		err := p.exchange(ctx, address)
		pause := ExchangeIntervalMillis
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

func (p *Peers) backoff(address string) Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	failures := p.peers[address].failures()
	return min(ExchangeIntervalMillis<<min(failures, 3), PeerRetryMaxMillis)
}

func (s *peerState) failures() int {
	if s == nil {
		return 0
	}
	return s.failuresInRow
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
	reply, err := p.Client.Exchange(limited, address, message)
	if err != nil {
		p.Counters.Add(CountPeerFailures, 1)
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
// has and one has asked for it, or may do so now.
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
	return peer.known().Newer(inForce.Configuration) && p.Clock.Now() >= p.fetching
}

// known returns the configuration that the peer has in force.
func (s *peerState) known() Configuration {
	return Configuration{Version: s.version, Digest: s.digest}
}

func (p *Peers) noteFailure(address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.peers[address]; ok {
		peer.tried = true
		peer.lastError = err.Error()
		peer.failuresInRow++
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
	if peer.info.Incarnation != 0 && list.Revision > peer.listRevision {
		message.InstanceList = list.Raw
	}
	message.Facts, message.Sequence = p.Facts.Since(peer.acked)
	return message
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
		peer.update(message, p.Self.Incarnation, p.Clock.Now())
	}
	p.mu.Unlock()
	p.Store.HeardPlatform(message.PlatformAge)
	if len(message.Configuration) > 0 {
		p.fetched()
		_, _ = p.Store.OfferConfiguration(message.Configuration, "peer "+message.From.Name)
	}
	if len(message.InstanceList) > 0 {
		_, _ = p.Store.OfferInstanceList(message.InstanceList)
	}
	for _, fact := range message.Facts {
		if p.Facts.Merge(fact) {
			p.Apply(fact)
		}
	}
}

// fetched ends the wait for a configuration.
func (p *Peers) fetched() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching = 0
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
	s.version = message.ConfigurationVersion
	s.digest = message.ConfigurationDigest
	s.wants = message.Wants
	s.listRevision = message.ListRevision
	s.seen = max(s.seen, message.Sequence)
	if message.SeenIncarnation == self {
		s.acked = max(s.acked, message.SeenSequence)
	}
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
	rank := func(name string) uint64 { return xxhash.Sum64String("reader/" + name) }
	self := rank(p.Self.Name)
	before := 0
	for name := range p.zoneMates() {
		if rank(name) < self {
			before++
		}
	}
	return before < ReadersPerZone
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
