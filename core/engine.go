package core

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
)

// Policy disables single parts of the request policy, so that the effect of each can
// be measured, or enables optional ones.
type Policy struct {
	// NoHedge disables the second attempt at a slow shard.
	NoHedge bool
	// NoEarlyClose makes queries wait for every shard until the deadline.
	NoEarlyClose bool
	// RandomReplica chooses replicas at random, regardless of latency and zone.
	RandomReplica bool
	// NoGate disables admission control: every request is admitted.
	NoGate bool
	// EstimateCapacity selects replicas by an estimate of how much each upstream takes well.
	EstimateCapacity bool
}

// EngineConfig holds the dependencies and the policy of an Engine.
type EngineConfig struct {
	Instance   string
	Clock      Clock
	Store      *Store
	Fleet      *Fleet
	Client     UpstreamClient
	Quarantine *Quarantine
	Budget     *TokenBudget
	Pause      *PauseGuard
	Counters   *Counters
	Gates      *GateSet
	Policy     Policy
	NewID      func() string
	// NotifyPeers sends the newest facts to the reachable peers and waits until they have
	// received them.
	NotifyPeers func(ctx context.Context)
}

// Engine answers queries: it chooses the snapshot, sends the attempts to upstreams and
// computes the coverage of the answer.
type Engine struct {
	EngineConfig

	mu sync.Mutex
	// active holds the IDs of the requests in flight.
	active Set[string]
}

// NewEngine returns an engine with no requests in flight.
func NewEngine(config EngineConfig) *Engine {
	return &Engine{EngineConfig: config, active: NewSet[string]()}
}

// admission is what admit found out about a valid request: its collection and kind in
// the configuration in force, its deadline, and the verdict on its fingerprint.
type admission struct {
	configuration Configuration
	collection    Collection
	kind          Kind
	deadline      Millis
	fingerprint   string
	verdict       Verdict
}

// admit checks a request against the configuration in force and the quarantine. It
// returns a refusal if the request is invalid, its kind has none of the given modes, its
// deadline has passed, or it is convicted of crashing upstreams.
func (e *Engine) admit(request Request, modes ...Mode) (admission, Option[Answer]) {
	refuse := func(reason Reason, format string, values ...any) (admission, Option[Answer]) {
		return admission{}, Some(Refuse(request.ID, reason, fmt.Sprintf(format, values...)))
	}
	inForce, ok := e.Store.Current()
	if !ok {
		return refuse(ReasonNotReady, "no configuration is in force")
	}
	collection, ok := inForce.Configuration.Collection(request.Collection)
	if !ok {
		return refuse(ReasonUnknownCollection, "collection %q is not in configuration %d", request.Collection, inForce.Configuration.Version)
	}
	kind, ok := collection.Kind(request.Kind)
	if !ok {
		return refuse(ReasonUnknownKind, "collection %q has no kind %q", request.Collection, request.Kind)
	}
	if !NewSet(modes...).Has(kind.Mode) {
		return refuse(ReasonWrongMode, "kind %q is of mode %q", request.Kind, kind.Mode)
	}
	if kind.Mode != ModeSearch && request.Key == "" {
		return refuse(ReasonMalformed, "kind %q needs a key", request.Kind)
	}
	deadline := request.Deadline
	if deadline == 0 {
		deadline = request.Arrived + kind.Timeout
	}
	deadline = min(deadline, request.Arrived+MaxTimeoutMillis)
	if now := e.Clock.Now(); deadline <= now {
		return refuse(ReasonDeadlinePassed, "the deadline passed %d ms ago", now-deadline)
	}
	fingerprint := request.Fingerprint()
	verdict := e.Quarantine.Verdict(fingerprint)
	switch {
	case verdict == VerdictConvicted && e.Quarantine.BeginTrial(fingerprint):
		// A suspect runs on one upstream alone first.
		verdict = VerdictSuspect
	case verdict == VerdictConvicted:
		return refuse(ReasonCrashesUpstreams, "requests with fingerprint %s crash upstreams", fingerprint)
	}
	return admission{
		configuration: inForce.Configuration,
		collection:    collection,
		kind:          kind,
		deadline:      deadline,
		fingerprint:   fingerprint,
		verdict:       verdict,
	}, None[Answer]()
}

// enter registers the ID of a request. It returns false if a request with the same ID is
// in flight.
func (e *Engine) enter(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active.Has(id) {
		return false
	}
	e.active.Add(id)
	return true
}

// leave removes the ID of a finished request.
func (e *Engine) leave(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, id)
}

// InFlight returns the number of requests in flight.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.active)
}

// Query answers a search or a fetch and counts its outcome.
func (e *Engine) Query(ctx context.Context, request Request) Answer {
	e.Counters.Add(CountQueries, 1)
	answer := e.query(ctx, request)
	return e.finish(request, answer)
}

func (e *Engine) query(ctx context.Context, request Request) Answer {
	if !e.enter(request.ID) {
		e.Counters.Add(CountDuplicateIDs, 1)
		return Refuse(request.ID, ReasonDuplicateID, "a request with this identity is in flight here")
	}
	defer e.leave(request.ID)
	admitted, refused := e.admit(request, ModeSearch, ModeFetch)
	if answer, ok := refused.Get(); ok {
		return answer
	}
	leaveGates, refused := e.enterGates(ctx, request, admitted)
	if answer, ok := refused.Get(); ok {
		return answer
	}
	q := newQuery(e, request, admitted)
	answer := q.run(ctx)
	leaveGates(q.congested.Load())
	return answer
}

// finish sets the fields that all answers have in common and counts the outcome.
func (e *Engine) finish(request Request, answer Answer) Answer {
	answer.RequestID = request.ID
	answer.Instance = e.Instance
	answer.Elapsed = e.Clock.Since(request.Arrived)
	if inForce, ok := e.Store.Current(); ok && answer.ConfigurationVersion == 0 {
		answer.ConfigurationVersion = inForce.Configuration.Version
	}
	switch answer.Outcome {
	case OutcomeAnswered:
		e.Counters.Add(CountAnswered, 1)
	case OutcomeNotRun:
		e.Counters.Add(CountRefused, 1)
	default:
		e.Counters.Add(CountUnknown, 1)
	}
	return answer
}

// enterGates admits the request at the gate of the instance and at that of its
// collection, or returns the refusal. The caller must call the returned function when
// the request ends.
func (e *Engine) enterGates(ctx context.Context, request Request, admitted admission) (func(congested bool), Option[Answer]) {
	if e.Policy.NoGate {
		return func(bool) {}, None[Answer]()
	}
	leaveGates, ok := e.enterBothGates(ctx, admitted)
	if !ok {
		e.Counters.Add(CountOverloaded, 1)
		return nil, Some(Refuse(request.ID, ReasonOverloaded, "too many requests in flight for this priority"))
	}
	return leaveGates, None[Answer]()
}

// enterBothGates waits at the instance gate and then at the collection gate. It returns
// false if either does not admit the request.
func (e *Engine) enterBothGates(ctx context.Context, admitted admission) (func(congested bool), bool) {
	priority := admitted.kind.Priority
	instance := e.Gates.Instance()
	started := e.Clock.Now()
	remaining := admitted.deadline - started
	if !instance.Enter(ctx, priority, MaxInFlight, remaining) {
		return nil, false
	}
	gate := e.Gates.Collection(admitted.collection.Name)
	if !gate.Enter(ctx, priority, e.collectionLimit(admitted.collection), remaining) {
		instance.Leave(e.Clock.Since(started), false)
		return nil, false
	}
	admittedAt := e.Clock.Now()
	return func(congested bool) {
		instance.Leave(e.Clock.Since(started), false)
		gate.Leave(e.Clock.Since(admittedAt), congested)
	}, true
}

// collectionLimit returns how many queries of the collection may be in flight on this
// instance, queued ones included: QueuedPerSlot times the lowest request capacity among
// the services of the newest snapshot.
func (e *Engine) collectionLimit(collection Collection) int {
	newest := collection.SnapshotsNewestFirst()
	if len(newest) == 0 {
		return 1
	}
	slots := MaxInFlight
	for _, partition := range newest[0].Partitions {
		slots = min(slots, max(1, e.Fleet.RequestCapacity(partition.Service)))
	}
	return slots * QueuedPerSlot
}

// GateSet holds the gate of the instance and one gate for each collection.
type GateSet struct {
	clock      Clock
	mu         sync.Mutex
	priorities int
	instance   *Gate
	gates      map[string]*Gate
}

// NewGateSet returns a gate set for the given number of priority levels.
func NewGateSet(clock Clock, priorities int) *GateSet {
	return &GateSet{
		clock:      clock,
		priorities: priorities,
		instance:   NewFixedGate(clock, MaxInFlight, priorities),
		gates:      map[string]*Gate{},
	}
}

// Instance returns the gate of the instance.
func (s *GateSet) Instance() *Gate {
	return s.instance
}

// State returns the state of all collection gates, sorted by name.
func (s *GateSet) State() []GateState {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]GateState, 0, len(s.gates))
	for name, gate := range s.gates {
		state := gate.State()
		state.Name = name
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b GateState) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

// Collection returns the gate of a collection and creates it on first use.
func (s *GateSet) Collection(name string) *Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate, ok := s.gates[name]
	if !ok {
		gate = NewGate(s.clock, MaxInFlight, s.priorities)
		s.gates[name] = gate
	}
	return gate
}
