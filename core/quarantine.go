package core

import "sync"

// Verdict is what is held of requests with one fingerprint.
type Verdict string

// The verdicts on a request.
const (
	VerdictNone Verdict = ""
	// VerdictSuspect means that several upstreams were lost while they ran it.
	VerdictSuspect Verdict = "suspect"
	// VerdictCleared means that it ran alone and the upstream survived.
	VerdictCleared Verdict = "cleared"
	// VerdictConvicted means that upstreams were lost while they ran it alone.
	VerdictConvicted Verdict = "convicted"
)

// Quarantine keeps the verdicts on requests that may crash upstreams.
type Quarantine struct {
	clock  Clock
	notify func(Fact)

	mu       sync.Mutex
	verdicts map[string]verdictEntry
}

type verdictEntry struct {
	verdict Verdict
	stamp   uint64
	crashes int
	at      Millis
	// lostAt is when the upstream of the last crash was lost, as seen here.
	lostAt Millis
}

// NewQuarantine returns an empty quarantine that calls notify with each verdict
// reached here.
func NewQuarantine(clock Clock, notify func(Fact)) *Quarantine {
	return &Quarantine{clock: clock, notify: notify, verdicts: map[string]verdictEntry{}}
}

// Verdict returns what is held of the fingerprint.
func (q *Quarantine) Verdict(fingerprint string) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry, ok := q.verdicts[fingerprint]
	if !ok || q.clock.Since(entry.at) > VerdictTTLMillis {
		return VerdictNone
	}
	return entry.verdict
}

// Crashes returns how many upstreams were lost in isolated runs of the request.
func (q *Quarantine) Crashes(fingerprint string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.verdicts[fingerprint].crashes
}

// Suspect records that several upstreams were lost while they ran the request.
func (q *Quarantine) Suspect(fingerprint string) {
	q.mu.Lock()
	entry := q.verdicts[fingerprint]
	if entry.verdict == VerdictSuspect || entry.verdict == VerdictConvicted {
		q.mu.Unlock()
		return
	}
	fact := q.setVerdict(fingerprint, VerdictSuspect, entry.crashes)
	q.mu.Unlock()
	q.notify(fact)
}

// Clear records that the request ran alone and the upstream survived.
func (q *Quarantine) Clear(fingerprint string) {
	q.mu.Lock()
	entry, ok := q.verdicts[fingerprint]
	if !ok || entry.verdict == VerdictCleared {
		q.mu.Unlock()
		return
	}
	fact := q.setVerdict(fingerprint, VerdictCleared, 0)
	q.mu.Unlock()
	q.notify(fact)
}

// Crash records that an upstream was lost while it ran the request alone, and
// returns the verdict after it.
func (q *Quarantine) Crash(fingerprint string) Verdict {
	now := q.clock.Now()
	return q.CrashInTurn(fingerprint, now, now)
}

// CrashInTurn records that an upstream was lost while it ran an attempt, beside others,
// that was sent at a time, and returns the verdict after it. Attempts that were under
// way together when upstreams were lost count once: one cause may have taken all of
// these upstreams.
func (q *Quarantine) CrashInTurn(fingerprint string, sent, lost Millis) Verdict {
	q.mu.Lock()
	entry := q.verdicts[fingerprint]
	if entry.verdict == VerdictConvicted || (entry.crashes > 0 && sent < entry.lostAt) {
		q.mu.Unlock()
		return entry.verdict
	}
	verdict := VerdictSuspect
	if entry.crashes+1 >= ConvictAfterCrashes {
		verdict = VerdictConvicted
	}
	fact := q.setVerdict(fingerprint, verdict, entry.crashes+1)
	entry = q.verdicts[fingerprint]
	entry.lostAt = lost
	q.verdicts[fingerprint] = entry
	q.mu.Unlock()
	q.notify(fact)
	return verdict
}

// Apply takes in a verdict that a peer reached.
func (q *Quarantine) Apply(fact Fact) {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry := q.verdicts[fact.Subject]
	if entry.stamp >= fact.Stamp {
		return
	}
	q.verdicts[fact.Subject] = verdictEntry{
		verdict: fact.Verdict,
		stamp:   fact.Stamp,
		crashes: fact.Crashes,
		at:      q.clock.Now() - fact.Age,
		lostAt:  q.clock.Now() - fact.Age,
	}
}

func (q *Quarantine) setVerdict(fingerprint string, verdict Verdict, crashes int) Fact {
	now := q.clock.Now()
	q.expire(now)
	stamp := max(uint64(now), q.verdicts[fingerprint].stamp+1)
	q.verdicts[fingerprint] = verdictEntry{verdict: verdict, stamp: stamp, crashes: crashes, at: now}
	return Fact{Kind: FactVerdict, Subject: fingerprint, Stamp: stamp, Verdict: verdict, Crashes: crashes}
}

func (q *Quarantine) expire(now Millis) {
	for fingerprint, entry := range q.verdicts {
		if now-entry.at > VerdictTTLMillis {
			delete(q.verdicts, fingerprint)
		}
	}
}

// VerdictState is one verdict, for the state dump.
type VerdictState struct {
	Fingerprint string
	Verdict     Verdict
	At          Millis
}

// State returns all verdicts.
func (q *Quarantine) State() []VerdictState {
	q.mu.Lock()
	defer q.mu.Unlock()
	states := make([]VerdictState, 0, len(q.verdicts))
	for fingerprint, entry := range q.verdicts {
		states = append(states, VerdictState{Fingerprint: fingerprint, Verdict: entry.verdict, At: entry.at})
	}
	return states
}
