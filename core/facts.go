package core

import (
	"cmp"
	"slices"
	"sync"
)

// FactKind is the subject matter of a fact.
type FactKind string

// The kinds of facts that instances tell each other.
const (
	// FactUpstreamLeaving says that an incarnation of an upstream is leaving.
	FactUpstreamLeaving FactKind = "upstreamLeaving"
	// FactVerdict is a verdict on requests with one fingerprint.
	FactVerdict FactKind = "requestVerdict"
	// FactTicketsMoved says which instance took over the tickets of a stopped one.
	FactTicketsMoved FactKind = "ticketsMoved"
)

// Fact is something that one instance saw and the others should know.
type Fact struct {
	Kind FactKind
	// Subject is the upstream's name, the request's fingerprint or the ticket home.
	Subject string
	// Stamp orders the facts on one subject: the upstream's incarnation, or the
	// time of the verdict.
	Stamp uint64
	// Verdict is set for FactVerdict.
	Verdict Verdict
	// Crashes is how many upstreams were lost in isolated runs, for FactVerdict.
	Crashes int
	// Address is set for FactTicketsMoved.
	Address string
	// Age is how long ago the fact was first seen.
	Age Millis
}

// NewLeavingFact returns the fact that an incarnation of an upstream is leaving.
func NewLeavingFact(name string, incarnation uint64) Fact {
	return Fact{Kind: FactUpstreamLeaving, Subject: name, Stamp: incarnation}
}

func (f Fact) ttl() Millis {
	if f.Kind == FactVerdict {
		return VerdictTTLMillis
	}
	return LeavingTTLMillis
}

type factKey struct {
	kind    FactKind
	subject string
}

type factEntry struct {
	fact     Fact
	sequence uint64
	seenAt   Millis
}

// FactLog keeps the facts that are still of use, in the order in which this
// instance learned them. Peers are sent what is new to them.
type FactLog struct {
	clock Clock

	mu       sync.Mutex
	sequence uint64
	entries  map[factKey]factEntry
	wake     []chan struct{}
}

// NewFactLog returns an empty log.
func NewFactLog(clock Clock) *FactLog {
	return &FactLog{clock: clock, entries: map[factKey]factEntry{}}
}

// Subscribe returns a channel that signals after each new fact.
func (l *FactLog) Subscribe() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	wake := make(chan struct{}, 1)
	l.wake = append(l.wake, wake)
	return wake
}

// Merge takes in a fact and reports whether it was new.
func (l *FactLog) Merge(fact Fact) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fact.Age > fact.ttl() {
		return false
	}
	key := factKey{kind: fact.Kind, subject: fact.Subject}
	if known, ok := l.entries[key]; ok && known.fact.Stamp >= fact.Stamp {
		return false
	}
	l.expire()
	if len(l.entries) >= MaxFacts {
		l.dropOldest()
	}
	l.sequence++
	l.entries[key] = factEntry{
		fact:     fact,
		sequence: l.sequence,
		seenAt:   l.clock.Now() - fact.Age,
	}
	for _, wake := range l.wake {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	return true
}

func (l *FactLog) expire() {
	now := l.clock.Now()
	for key, entry := range l.entries {
		if now-entry.seenAt > entry.fact.ttl() {
			delete(l.entries, key)
		}
	}
}

func (l *FactLog) dropOldest() {
	var oldest factKey
	least := l.sequence + 1
	for key, entry := range l.entries {
		if entry.sequence < least {
			oldest, least = key, entry.sequence
		}
	}
	delete(l.entries, oldest)
}

// Since returns the facts learned after the given sequence number, oldest
// first, and the sequence number of the last.
func (l *FactLog) Since(sequence uint64) ([]Fact, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	var fresh []factEntry
	for _, entry := range l.entries {
		if entry.sequence > sequence {
			fresh = append(fresh, entry)
		}
	}
	slices.SortFunc(fresh, func(a, b factEntry) int { return cmp.Compare(a.sequence, b.sequence) })
	now := l.clock.Now()
	facts := make([]Fact, len(fresh))
	for i, entry := range fresh {
		facts[i] = entry.fact
		facts[i].Age = max(0, now-entry.seenAt)
	}
	return facts, l.sequence
}

// Sequence returns the sequence number of the last fact.
func (l *FactLog) Sequence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sequence
}
