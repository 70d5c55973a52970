package core

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
)

// ErrNoReplica means that no upstream of a service may receive the request.
var ErrNoReplica = errors.New("no routable replica")

// sourceUpstream is the source of a status that the upstream itself reported.
const sourceUpstream = "upstream"

// Fleet holds the state of all upstreams as this instance knows it. It selects
// the replica for each request and limits the requests in flight at each replica
// to this instance's share.
type Fleet struct {
	clock  Clock
	zone   string
	policy Policy
	notify func(Fact)
	// onChange, if set, is called when an upstream goes in or out of use.
	onChange func(UpstreamChange)
	// onLimitChange, if set, is called when the request limit of an upstream changes.
	onLimitChange func(LimitChange)
	// coldBound is the bound on requests to cold upstreams, if one is in force.
	coldBound Option[ColdBound]
	// onColdChange, if set, is called when an upstream begins or ceases to be treated as cold.
	onColdChange func(ColdChange)
	// onPauseChange, if set, is called when an upstream begins or ceases to be paused.
	onPauseChange func(PauseChange)
	// onInvalidSignals, if set, is called when an upstream states something that can't be read.
	onInvalidSignals func(name string, fields []string)
	// onEstimateChange, if set, is called when the capacity estimate of an upstream changes
	// much.
	onEstimateChange func(EstimateChange)
	// random returns a number from 0 to 1.
	random func() float64

	// alerts signals that an upstream may have become unreachable.
	alerts chan struct{}
	// tokenSignals signals that tokens are to be requested.
	tokenSignals chan struct{}

	mu sync.Mutex
	// limits holds the request limits by name of the upstream. Some of the upstreams may not
	// be known yet.
	limits map[string]*upstreamLimit
	// marks holds what upstreams have stated about themselves, by name.
	marks map[string]*upstreamMarks
	// wanting names the upstreams that tokens are to be requested for.
	wanting  Set[string]
	services map[string]*service
	replicas map[string]*replica
	zones    map[string]*zoneHealth
	// evacuated names the zones whose upstreams get no requests.
	evacuated Set[string]
}

type service struct {
	name     string
	replicas []*replica
	waiters  []*waiter
	window   latencyWindow
	// usual is what the capacity estimates of the replicas have in common, and speeds a buffer
	// for computing it.
	usual  serviceUsual
	speeds []float64
}

// Want describes the replica that an attempt needs.
type Want struct {
	Service    string
	Collection string
	// Kind is the route or the kind of the request. Latencies of one kind are compared with
	// each other.
	Kind string
	// Snapshot, if not zero, restricts the selection to replicas that serve it.
	Snapshot uint64
	// Exclude names replicas that were already tried.
	Exclude Set[string]
	// Exclusive requires a replica that runs no other request of this instance.
	Exclusive bool
	// ExcludeLastReplica rejects the request if fewer than two replicas of the service are
	// in use.
	ExcludeLastReplica bool
	// KeepOnConnectionLoss keeps a replica in use after the attempt lost its connection,
	// until a probe or another attempt fails to reach it.
	KeepOnConnectionLoss bool
	// NoWait makes Acquire fail at once when no replica has free capacity.
	NoWait bool
	// WaitUntil, if not zero, is when the wait for a replica ends. Acquire fails at once with a
	// *LimitedError if all replicas are at their request limits until then.
	WaitUntil Millis
	Priority  int
}

// NewFleet returns a fleet without upstreams for an instance in the given zone.
// It calls notify for each upstream that starts leaving.
func NewFleet(clock Clock, zone string, policy Policy, notify func(Fact)) *Fleet {
	return &Fleet{
		clock:    clock,
		zone:     zone,
		policy:   policy,
		random:   rand.Float64,
		notify:   notify,
		services: map[string]*service{},
		replicas: map[string]*replica{},
		zones:    map[string]*zoneHealth{},
		alerts:   make(chan struct{}, 1),

		tokenSignals: make(chan struct{}, 1),
		limits:       map[string]*upstreamLimit{},
		marks:        map[string]*upstreamMarks{},
		wanting:      NewSet[string](),
	}
}

// Apply replaces the services by those of a configuration. Upstreams that are in
// both keep their state.
func (f *Fleet) Apply(configuration Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	services := make(map[string]*service, len(configuration.Services))
	replicas := make(map[string]*replica)
	for _, spec := range configuration.Services {
		share := configuration.ConnectionsPerInstance(spec)
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
	f.retainLimits()
	f.retainMarks()
	for _, s := range services {
		f.grant(s)
	}
}

// reuseService returns the service of that name, or a new one.
func (f *Fleet) reuseService(name string) *service {
	if s, ok := f.services[name]; ok {
		return s
	}
	return &service{name: name}
}

// reuseReplica returns the known replica with its state, or a new one if the
// upstream is new or its address, zone or service has changed.
func (f *Fleet) reuseReplica(spec Service, upstream Upstream, share int) *replica {
	f.limitOf(upstream.Name).cold.configure(f.coldLimit(spec), spec.ColdStart, f.clock.Now())
	r, ok := f.replicas[upstream.Name]
	if !ok || r.upstream.Address != upstream.Address || r.upstream.Zone != upstream.Zone || r.service != spec.Name {
		r = newReplica(spec, upstream, share, f.limitOf(upstream.Name), f.marksOf(upstream.Name))
		r.evacuated = f.evacuated.Has(upstream.Zone)
		r.estimate = f.newEstimate()
		return r
	}
	r.upstream.Unlisted = upstream.Unlisted
	if r.slots != spec.Slots || r.share != share {
		r.resize(spec.Slots, share)
	}
	return r
}

// ApplyList marks the upstreams that are leaving according to the platform's
// instance list.
func (f *Fleet) ApplyList(list InstanceList) {
	for _, m := range list.Members {
		if m.Role == RoleUpstream && m.Leaving {
			f.MarkLeaving(m.Name, m.Incarnation, "instance list")
		}
	}
}

// ObserveListed updates an upstream from its entry in the instance list.
func (f *Fleet) ObserveListed(name string, incarnation uint64, phase Phase) {
	f.observe(name, UpstreamStatus{Incarnation: incarnation, Phase: phase}, "instance list")
}

// MarkLeaving records that an incarnation of an upstream, which may be unknown yet, is leaving. Reports
// about an earlier incarnation are ignored. It returns whether the upstream started
// leaving.
func (f *Fleet) MarkLeaving(name string, incarnation uint64, source string) bool {
	status := UpstreamStatus{Incarnation: incarnation, Phase: PhaseLeaving}
	return f.observe(name, status, source)
}

// ProbeFailed records that a probe of an upstream failed.
func (f *Fleet) ProbeFailed(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[name]
	if !ok {
		return
	}
	r.probeFailures++
	f.alert()
	f.reportChange(r, "probe")
	if s, ok := f.services[r.service]; ok {
		f.grant(s)
	}
}

// Observe updates an upstream from a status that it reported itself.
func (f *Fleet) Observe(name string, status UpstreamStatus) {
	f.observe(name, status, sourceUpstream)
}

// observe updates an upstream from a status. It returns whether the upstream
// started leaving.
func (f *Fleet) observe(name string, status UpstreamStatus, source string) bool {
	f.mu.Lock()
	r, ok := f.replicas[name]
	if !ok {
		if status.Phase == PhaseLeaving {
			f.marksOf(name).markLeaving(status.Incarnation, source, f.clock.Now())
		}
		f.mu.Unlock()
		return false
	}
	wasLeaving := r.phase == PhaseLeaving && r.incarnation == status.Incarnation
	r.update(status, source, f.clock.Now())
	f.checkCold(r, source)
	if source == sourceUpstream {
		f.recordReply(r, f.clock.Now())
	}
	f.reportChange(r, source)
	startsLeaving := r.phase == PhaseLeaving && !wasLeaving
	if s, ok := f.services[r.service]; ok {
		f.grant(s)
	}
	f.mu.Unlock()
	if startsLeaving {
		f.notify(NewLeavingFact(name, status.Incarnation))
	}
	return startsLeaving
}

// Acquire waits for a replica with free capacity and returns a permit for one
// request. It returns ErrNoReplica if no replica is eligible, or if want.NoWait is
// set and the request would have to wait, and a *LimitedError as want.WaitUntil says.
func (f *Fleet) Acquire(ctx context.Context, want Want) (*Permit, error) {
	f.mu.Lock()
	s, ok := f.services[want.Service]
	if !ok || len(f.eligible(s, want)) == 0 {
		f.mu.Unlock()
		return nil, ErrNoReplica
	}
	if !s.hasExclusiveWaiter() {
		if permit := f.tryAcquire(s, want); permit != nil {
			f.mu.Unlock()
			return permit, nil
		}
	}
	if want.NoWait {
		f.mu.Unlock()
		return nil, ErrNoReplica
	}
	if err := f.limitedError(s, want); err != nil {
		f.mu.Unlock()
		return nil, err
	}
	w := &waiter{want: want, granted: make(chan grantResult, 1)}
	s.enqueue(w)
	f.mu.Unlock()
	return f.await(ctx, s, w)
}

// Zone returns the availability zone of this instance.
func (f *Fleet) Zone() string {
	return f.zone
}

// HedgeDelay returns how long to wait for an attempt at the service before a hedge
// is sent. It returns nothing while too few latencies are known.
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

// RequestCapacity returns how many requests this instance may have in flight at the
// service.
func (f *Fleet) RequestCapacity(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	if !ok {
		return 0
	}
	total := 0
	for _, r := range s.replicas {
		if r.routable() {
			total += r.capacity()
		}
	}
	return total
}

// Serving reports whether a routable replica of the service serves the snapshot,
// according to its last status.
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

// alert signals on alerts. It does not block: a pending signal is enough.
func (f *Fleet) alert() {
	select {
	case f.alerts <- struct{}{}:
	default:
	}
}

// HasSuspects reports whether any upstream or zone may be unreachable.
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

// Suspects returns the live upstreams that stopped replying or lost a connection
// and have not replied since.
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

// ProbeInterval returns how long to wait before ProbeDue is checked again. It is
// shorter while the upstream gets no requests, so that its recovery is noticed soon.
func (f *Fleet) ProbeInterval(name string) Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[name]; ok && r.routable() && !r.down {
		return ProbeIntervalMillis
	}
	return ProbeReturnMillis
}

// DropSnapshot records that an upstream reported that it does not serve a snapshot.
func (f *Fleet) DropSnapshot(name, collection string, snapshot uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[name]; ok && r.snapshots != nil {
		delete(r.snapshots[collection], snapshot)
	}
}

// Unreachable reports whether probes have confirmed that a known upstream can't be
// reached.
func (f *Fleet) Unreachable(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[name]
	return ok && r.unreachable()
}

// ReachableServices returns how many of the services have an upstream that may
// receive new requests.
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

// ProbeDue reports whether an upstream must be probed: it is not in use, or it has
// not replied for ProbeIntervalMillis.
func (f *Fleet) ProbeDue(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[name]
	if !ok {
		return false
	}
	return r.down || !r.routable() || f.clock.Since(r.heardAt) >= ProbeIntervalMillis
}
