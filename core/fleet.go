package core

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
)

// ErrNoReplica means that no upstream of a service may be given the work.
var ErrNoReplica = errors.New("no routable replica")

// sourceUpstream is the source of what an upstream said of itself.
const sourceUpstream = "upstream"

// Fleet is the instance's view of all upstreams. It chooses replicas and keeps
// the number of requests at each within the instance's share.
type Fleet struct {
	clock  Clock
	zone   string
	policy Policy
	notify func(Fact)
	// onChange is told of upstreams that go in and out of use, unless it is nil.
	onChange func(UpstreamChange)

	// alerts signals that an upstream may have become unreachable.
	alerts chan struct{}

	mu       sync.Mutex
	services map[string]*service
	replicas map[string]*replica
	zones    map[string]*zoneHealth
}

type service struct {
	name     string
	replicas []*replica
	waiters  []*waiter
	window   latencyWindow
}

// Want says which replica an attempt needs.
type Want struct {
	Service    string
	Collection string
	// Snapshot restricts the choice to replicas that serve it, unless it is zero.
	Snapshot uint64
	// Exclude names replicas that were tried already.
	Exclude Set[string]
	// Exclusive asks for a replica that runs nothing else for this instance.
	Exclusive bool
	// SpareLast leaves the last routable replica of the service alone.
	SpareLast bool
	// KeepBroken leaves a replica whose connection breaks in use until a probe or
	// another attempt fails to reach it.
	KeepBroken bool
	// NoWait gives up at once when there is no room.
	NoWait   bool
	Priority int
}

// NewFleet returns an empty view for an instance in the given zone. It calls
// notify with each upstream that it sees leaving.
func NewFleet(clock Clock, zone string, policy Policy, notify func(Fact)) *Fleet {
	return &Fleet{
		clock:    clock,
		zone:     zone,
		policy:   policy,
		notify:   notify,
		services: map[string]*service{},
		replicas: map[string]*replica{},
		zones:    map[string]*zoneHealth{},
		alerts:   make(chan struct{}, 1),
	}
}

// Apply takes in the services of a configuration. What is known of upstreams
// that stay is kept.
func (f *Fleet) Apply(configuration Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	services := make(map[string]*service, len(configuration.Services))
	replicas := make(map[string]*replica)
	for _, spec := range configuration.Services {
		share := configuration.Share(spec)
		s := f.reuseService(spec.Name)
		s.replicas = s.replicas[:0]
		for _, upstream := range spec.Upstreams {
			r := f.reuseReplica(spec, upstream, share)
			s.replicas = append(s.replicas, r)
			replicas[upstream.Name] = r
		}
		services[spec.Name] = s
	}
	f.services = services
	f.replicas = replicas
	for _, s := range services {
		f.grant(s)
	}
}

func (f *Fleet) reuseService(name string) *service {
	if s, ok := f.services[name]; ok {
		return s
	}
	return &service{name: name}
}

func (f *Fleet) reuseReplica(spec Service, upstream Upstream, share int) *replica {
	r, ok := f.replicas[upstream.Name]
	if !ok || r.upstream.Address != upstream.Address || r.upstream.Zone != upstream.Zone || r.service != spec.Name {
		return newReplica(spec, upstream, share)
	}
	r.upstream.Unlisted = upstream.Unlisted
	if r.slots != spec.Slots || r.share != share {
		r.resize(spec.Slots, share)
	}
	return r
}

// ApplyList takes in which upstreams the platform's list says are leaving.
func (f *Fleet) ApplyList(list InstanceList) {
	for _, m := range list.Members {
		if m.Role == RoleUpstream && m.Leaving {
			f.MarkLeaving(m.Name, m.Incarnation, "instance list")
		}
	}
}

// ObserveListed takes in what the instance list says of an upstream.
func (f *Fleet) ObserveListed(name string, incarnation uint64, phase Phase) {
	f.observe(name, UpstreamStatus{Incarnation: incarnation, Phase: phase}, "instance list")
}

// MarkLeaving takes in word that an incarnation of an upstream is leaving. Word
// of a former incarnation is ignored. It reports whether this was news.
func (f *Fleet) MarkLeaving(name string, incarnation uint64, source string) bool {
	status := UpstreamStatus{Incarnation: incarnation, Phase: PhaseLeaving}
	return f.observe(name, status, source)
}

// ProbeFailed takes in that an upstream did not answer a probe.
func (f *Fleet) ProbeFailed(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[name]
	if !ok {
		return
	}
	r.probeFailures++
	f.alert()
	f.changed(r, "probe")
	if s, ok := f.services[r.service]; ok {
		f.grant(s)
	}
}

// Observe takes in what an upstream said of itself.
func (f *Fleet) Observe(name string, status UpstreamStatus) {
	f.observe(name, status, sourceUpstream)
}

func (f *Fleet) observe(name string, status UpstreamStatus, source string) bool {
	f.mu.Lock()
	r, ok := f.replicas[name]
	if !ok {
		f.mu.Unlock()
		return false
	}
	wasLeaving := r.phase == PhaseLeaving && r.incarnation == status.Incarnation
	r.update(status, source, f.clock.Now())
	if source == sourceUpstream {
		f.recordReply(r, f.clock.Now())
	}
	f.changed(r, source)
	leaves := r.phase == PhaseLeaving && !wasLeaving
	if s, ok := f.services[r.service]; ok {
		f.grant(s)
	}
	f.mu.Unlock()
	if leaves {
		f.notify(NewLeavingFact(name, status.Incarnation))
	}
	return leaves
}

// Acquire waits for a replica with room and returns a permit for one request.
func (f *Fleet) Acquire(ctx context.Context, want Want) (*Permit, error) {
	f.mu.Lock()
	s, ok := f.services[want.Service]
	if !ok || len(f.eligible(s, want)) == 0 {
		f.mu.Unlock()
		return nil, ErrNoReplica
	}
	if !s.isolating() {
		if permit := f.take(s, want); permit != nil {
			f.mu.Unlock()
			return permit, nil
		}
	}
	if want.NoWait {
		f.mu.Unlock()
		return nil, ErrNoReplica
	}
	w := &waiter{want: want, granted: make(chan *Permit, 1)}
	s.enqueue(w)
	f.mu.Unlock()
	return f.await(ctx, s, w)
}

func (s *service) countRoutable() int {
	count := 0
	for _, r := range s.replicas {
		if r.routable() && !r.down {
			count++
		}
	}
	return count
}

func (f *Fleet) eligible(s *service, want Want) []*replica {
	if want.SpareLast && s.countRoutable() < 2 {
		return nil
	}
	var all []*replica
	for _, r := range s.replicas {
		switch {
		case !r.routable() || r.share < 1 || want.Exclude.Has(r.upstream.Name):
		case want.Snapshot != 0 && !r.serves(want.Collection, want.Snapshot):
		default:
			all = append(all, r)
		}
	}
	return all
}

// take returns a permit for the replica that is expected to answer first, or
// nil when that replica has no room.
func (f *Fleet) take(s *service, want Want) *Permit {
	now := f.clock.Now()
	kept := f.usable(s, want, now)
	if len(kept) == 0 {
		return nil
	}
	best := f.best(s, kept, want, now)
	if !best.hasCapacity(want.Exclusive) {
		return nil
	}
	return f.grantPermit(best, want, now)
}

// usable returns the replicas to choose from: the eligible ones, without those that are a
// last resort or in trouble if there are others.
func (f *Fleet) usable(s *service, want Want, now Millis) []*replica {
	kept := preferred(f.eligible(s, want), func(r *replica) bool { return !r.upstream.Unlisted })
	return preferred(kept, func(r *replica) bool { return !r.down && !r.ejected(now) })
}

// best returns the replica that is expected to answer first.
func (f *Fleet) best(s *service, usable []*replica, want Want, now Millis) *replica {
	return slices.MinFunc(usable, func(a, b *replica) int {
		return cmp.Compare(f.scoreOf(s, a, want, now), f.scoreOf(s, b, want, now))
	})
}

// Zone returns the availability zone of this instance.
func (f *Fleet) Zone() string {
	return f.zone
}

// RemoteZones returns, by position, the services whose next request would go to another
// availability zone, with the zones of their usable replicas.
func (f *Fleet) RemoteZones(services []string) map[int][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	remote := map[int][]string{}
	for position, name := range services {
		s, ok := f.services[name]
		if !ok {
			continue
		}
		usable := f.usable(s, Want{}, now)
		if len(usable) == 0 || f.best(s, usable, Want{}, now).upstream.Zone == f.zone {
			continue
		}
		zones := NewSet[string]()
		for _, r := range usable {
			zones.Add(r.upstream.Zone)
		}
		delete(zones, f.zone)
		remote[position] = zones.Sorted()
	}
	return remote
}

// InZone returns the upstreams of a service in an availability zone, unless it has usable
// ones nowhere else.
func (f *Fleet) InZone(name, zone string) Set[string] {
	f.mu.Lock()
	defer f.mu.Unlock()
	inside := NewSet[string]()
	s, ok := f.services[name]
	if !ok {
		return inside
	}
	elsewhere := false
	for _, r := range f.usable(s, Want{}, f.clock.Now()) {
		if r.upstream.Zone == zone {
			inside.Add(r.upstream.Name)
		} else {
			elsewhere = true
		}
	}
	if !elsewhere {
		return NewSet[string]()
	}
	return inside
}

// preferred returns the candidates that match, or all where none does.
func preferred(candidates []*replica, match func(*replica) bool) []*replica {
	var kept []*replica
	for _, r := range candidates {
		if match(r) {
			kept = append(kept, r)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

func (f *Fleet) grantPermit(r *replica, want Want, now Millis) *Permit {
	r.inFlight++
	r.exclusive = want.Exclusive
	return &Permit{fleet: f, replica: r, target: r.target(), since: now, want: want}
}

// scoreOf estimates the time until a reply of the replica. One without room costs
// the wait for it, too.
func (f *Fleet) scoreOf(s *service, r *replica, want Want, now Millis) float64 {
	if f.policy.RandomReplica {
		return rand.Float64()
	}
	score := r.score(f.zone, float64(s.window.quantile(MedianQuantile).Or(0)), now)
	if !r.hasCapacity(want.Exclusive) {
		score *= float64(2 + len(s.waiters))
	}
	return score
}

// HedgeDelay returns after which time an attempt at the service is slow, if
// enough is known.
func (f *Fleet) HedgeDelay(name string) Option[Millis] {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	if !ok {
		return None[Millis]()
	}
	delay, known := s.window.quantile(HedgeQuantile).Get()
	if !known {
		return None[Millis]()
	}
	return Some(max(HedgeMinMillis, delay+1))
}

// Explore returns a permit for a replica of the service that has not been used
// for a while, or nil when there is none. What is known of its latency is old.
func (f *Fleet) Explore(want Want) *Permit {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[want.Service]
	if !ok || len(s.waiters) > 0 {
		return nil
	}
	now := f.clock.Now()
	for _, r := range f.eligible(s, want) {
		if now-r.usedAt > ExploreIntervalMillis && !r.down && !r.ejected(now) && r.hasCapacity(false) {
			return f.grantPermit(r, want, now)
		}
	}
	return nil
}

// Room returns how many requests the instance may have in flight at the service.
func (f *Fleet) Room(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	if !ok {
		return 0
	}
	room := 0
	for _, r := range s.replicas {
		if r.routable() {
			room += r.capacity()
		}
	}
	return room
}

// Serving reports whether a routable replica of the service is believed to
// serve the snapshot.
func (f *Fleet) Serving(name, collection string, snapshot uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	return ok && len(f.eligible(s, Want{Collection: collection, Snapshot: snapshot})) > 0
}

// Alerts returns a channel that signals when an upstream may have become unreachable.
func (f *Fleet) Alerts() <-chan struct{} {
	return f.alerts
}

func (f *Fleet) alert() {
	select {
	case f.alerts <- struct{}{}:
	default:
	}
}

// HasSuspects reports whether there are upstreams, or zones, that may be unreachable.
func (f *Fleet) HasSuspects() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, zone := range f.zones {
		if zone.lateAttempts > 0 {
			return true
		}
	}
	for _, r := range f.replicas {
		if r.suspect() {
			return true
		}
	}
	return false
}

// Suspects returns the upstreams that fell silent or broke a connection and were
// not heard since.
func (f *Fleet) Suspects() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var suspects []Target
	for _, r := range f.replicas {
		if r.suspect() {
			suspects = append(suspects, r.target())
		}
	}
	return suspects
}

// ProbeInterval returns how long to wait before the upstream is considered for the
// next probe: less while it gets no requests, so that its return is seen soon.
func (f *Fleet) ProbeInterval(name string) Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[name]; ok && r.routable() && !r.down {
		return ProbeIntervalMillis
	}
	return ProbeReturnMillis
}

// DropSnapshot records that an upstream said it does not serve a snapshot.
func (f *Fleet) DropSnapshot(name, collection string, snapshot uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[name]; ok && r.snapshots != nil {
		delete(r.snapshots[collection], snapshot)
	}
}

// Unreachable reports whether probes have confirmed that a listed upstream can't be
// reached.
func (f *Fleet) Unreachable(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[name]
	return ok && r.unreachable()
}

// ReachableServices returns how many of the services have an upstream that may be
// given new work.
func (f *Fleet) ReachableServices(services []string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, name := range services {
		if s, ok := f.services[name]; ok && slices.ContainsFunc(s.replicas, (*replica).routable) {
			count++
		}
	}
	return count
}

// Targets returns all upstreams.
func (f *Fleet) Targets() []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make([]Target, 0, len(f.replicas))
	for _, r := range f.replicas {
		targets = append(targets, r.target())
	}
	return targets
}

// ProbeDue reports whether nothing is known of the upstream's present state.
func (f *Fleet) ProbeDue(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[name]
	if !ok {
		return false
	}
	return r.down || !r.routable() || f.clock.Since(r.heardAt) >= ProbeIntervalMillis
}
