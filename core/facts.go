package core

import (
	"cmp"
	"slices"
	"sync"
)

// FactKind is the kind of a fact.
type FactKind string

// The kinds of facts that instances gossip.
const (
	// FactUpstreamLeaving reports that an incarnation of an upstream is leaving.
	FactUpstreamLeaving FactKind = "upstreamLeaving"
	// FactVerdict is a verdict on whether requests with one fingerprint crash upstreams.
	FactVerdict FactKind = "requestVerdict"
	// FactTicketsMoved reports which instance took over the tickets of a stopped one.
	FactTicketsMoved FactKind = "ticketsMoved"
	// FactUpstreamLimit reports the request limit of an upstream, or its end.
	FactUpstreamLimit FactKind = "upstreamLimit"
	// FactUpstreamCold reports how long an upstream will remain cold.
	FactUpstreamCold FactKind = "upstreamCold"
)

// Fact is an event that one instance has observed and gossips to the others.
type Fact struct {
	Kind FactKind
	// Subject is the upstream's name, the request's fingerprint, or the instance that
	// minted the tickets.
	Subject string
	// Stamp orders the facts of one kind on one subject; a higher one replaces a lower
	// one. It is the upstream's incarnation, the time of the verdict or the takeover, the
	// number of the change of the request limit, or the end of the cold period in seconds.
	Stamp uint64
	// Verdict is set only for FactVerdict.
	Verdict Verdict
	// Crashes is the number of upstreams that crashed in isolated runs of the request.
	// It is set only for FactVerdict.
	Crashes int
	// Address is the instance that took over the tickets. It is set only for
	// FactTicketsMoved.
	Address string
	// Incarnation is the upstream's incarnation, and LimitPerSecond its limit if Limited is set.
	// They are set only for FactUpstreamLimit, Incarnation also for FactUpstreamCold.
	Incarnation    uint64
	Limited        bool
	LimitPerSecond float64
	// ColdRemaining is the time for which the upstream remains cold, from when the fact was first
	// observed. It is set only for FactUpstreamCold.
	ColdRemaining Millis
	// Age is how long ago the fact was first observed.
	Age Millis
}

// NewLeavingFact returns a fact that reports a leaving incarnation of an upstream.
func NewLeavingFact(name string, incarnation uint64) Fact {
	return Fact{Kind: FactUpstreamLeaving, Subject: name, Stamp: incarnation}
}

// ttl returns the age at which the fact expires.
func (f Fact) ttl() Millis {
	if f.Kind == FactVerdict {
		return VerdictTTLMillis
	}
	return max(FactTTLMillis, f.ColdRemaining)
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

// FactLog holds the facts that have not expired. It numbers them in the order in
// which this instance learned them, so that each peer is sent only new facts.
type FactLog struct {
	clock Clock

	mu          sync.Mutex
	sequence    uint64
	entries     map[factKey]factEntry
	subscribers []chan struct{}
}

// NewFactLog returns an empty log.
func NewFactLog(clock Clock) *FactLog {
	return &FactLog{clock: clock, entries: map[factKey]factEntry{}}
}

// Subscribe returns a channel that is signalled after each new fact.
func (l *FactLog) Subscribe() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	subscriber := make(chan struct{}, 1)
	l.subscribers = append(l.subscribers, subscriber)
	return subscriber
}

// Merge adds a fact unless it has expired or the log holds an equal or newer fact on
// the same subject. It reports whether it added the fact.
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
		l.evictOldest()
	}
	l.sequence++
	l.entries[key] = factEntry{
		fact:     fact,
		sequence: l.sequence,
		seenAt:   l.clock.Now() - fact.Age,
	}
	for _, subscriber := range l.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
	return true
}

// expire deletes the facts that are older than their TTL. The caller holds the lock.
func (l *FactLog) expire() {
	now := l.clock.Now()
	for key, entry := range l.entries {
		if now-entry.seenAt > entry.fact.ttl() {
			delete(l.entries, key)
		}
	}
}

// evictOldest deletes the fact that was learned first. The caller holds the lock.
func (l *FactLog) evictOldest() {
	var oldest factKey
	minSequence := l.sequence + 1
	for key, entry := range l.entries {
		if entry.sequence < minSequence {
			oldest, minSequence = key, entry.sequence
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
	var unseen []factEntry
	for _, entry := range l.entries {
		if entry.sequence > sequence {
			unseen = append(unseen, entry)
		}
	}
	slices.SortFunc(unseen, func(a, b factEntry) int { return cmp.Compare(a.sequence, b.sequence) })
	now := l.clock.Now()
	facts := make([]Fact, len(unseen))
	for i, entry := range unseen {
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
