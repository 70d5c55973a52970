package core

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
)

// Policy switches single parts of the policy off, so that each can be measured.
type Policy struct {
	// NoHedge sends no second attempt to a slow shard.
	NoHedge bool
	// NoEarlyClose waits for every shard until the deadline.
	NoEarlyClose bool
	// RandomReplica ignores latency and zone when choosing a replica.
	RandomReplica bool
	// NoGate admits every request.
	NoGate bool
}

// EngineParts are what an engine is built from.
type EngineParts struct {
	Instance   string
	Clock      Clock
	Store      *Store
	Fleet      *Fleet
	Client     UpstreamClient
	Quarantine *Quarantine
	Budget     *Budget
	Pause      *PauseGuard
	Counters   *Counters
	Gates      *GateSet
	Policy     Policy
	NewID      func() string
	// NotifyPeers waits until the reachable peers know the newest facts.
	NotifyPeers func(ctx context.Context)
}

// Engine answers requests: it chooses the snapshot, sends the attempts and
// accounts for what they cover.
type Engine struct {
	EngineParts

	mu     sync.Mutex
	active Set[string]
}

// NewEngine returns an engine.
func NewEngine(parts EngineParts) *Engine {
	return &Engine{EngineParts: parts, active: NewSet[string]()}
}

// admission is a request that was checked against the configuration in force.
type admission struct {
	configuration Configuration
	collection    Collection
	kind          Kind
	deadline      Millis
	fingerprint   string
	verdict       Verdict
}

// admit checks a request and returns the answer that refuses it, if any.
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
	if verdict == VerdictConvicted {
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

// enter registers the identity of a request; a second one in flight is refused.
func (e *Engine) enter(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active.Has(id) {
		return false
	}
	e.active.Add(id)
	return true
}

func (e *Engine) leave(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, id)
}

// InFlight returns the number of requests that are being answered.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.active)
}

// Query answers a search or a fetch.
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
	exit, refused := e.enterGates(ctx, request, admitted)
	if answer, ok := refused.Get(); ok {
		return answer
	}
	q := newQuery(e, request, admitted)
	answer := q.run(ctx)
	exit(q.congested.Load())
	return answer
}

// finish fills in what every answer carries and counts it.
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

// enterGates admits the request at the instance's gate and at the gate of its
// collection, or returns the answer that refuses it. The returned function must
// be called at the request's end.
func (e *Engine) enterGates(ctx context.Context, request Request, admitted admission) (func(congested bool), Option[Answer]) {
	if e.Policy.NoGate {
		return func(bool) {}, None[Answer]()
	}
	exit, ok := e.passGates(ctx, admitted)
	if !ok {
		e.Counters.Add(CountOverloaded, 1)
		return nil, Some(Refuse(request.ID, ReasonOverloaded, "too many requests in flight for this priority"))
	}
	return exit, None[Answer]()
}

func (e *Engine) passGates(ctx context.Context, admitted admission) (func(congested bool), bool) {
	priority := admitted.kind.Priority
	instance := e.Gates.Instance()
	started := e.Clock.Now()
	left := admitted.deadline - started
	if !instance.Enter(ctx, priority, MaxInFlight, left) {
		return nil, false
	}
	gate := e.Gates.Collection(admitted.collection.Name)
	if !gate.Enter(ctx, priority, e.collectionRoom(admitted.collection), left) {
		instance.Leave(e.Clock.Since(started), false)
		return nil, false
	}
	admittedAt := e.Clock.Now()
	return func(congested bool) {
		instance.Leave(e.Clock.Since(started), false)
		gate.Leave(e.Clock.Since(admittedAt), congested)
	}, true
}

// collectionRoom returns how many queries of the collection the instance may
// have in flight: what its narrowest service carries, and as many in its queues.
func (e *Engine) collectionRoom(collection Collection) int {
	newest := collection.Newest()
	if len(newest) == 0 {
		return 1
	}
	room := MaxInFlight
	for _, partition := range newest[0].Partitions {
		room = min(room, max(1, e.Fleet.Room(partition.Service)))
	}
	return room * QueuedPerSlot
}

// GateSet holds the gate of the instance and one for each collection.
type GateSet struct {
	clock      Clock
	mu         sync.Mutex
	priorities int
	instance   *Gate
	gates      map[string]*Gate
}

// NewGateSet returns gates for the given number of priorities.
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

// State returns the gates of all collections, by name.
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

// Collection returns the gate of a collection.
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
