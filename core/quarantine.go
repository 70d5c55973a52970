package core

import (
	"math/rand/v2"
	"sync"
)

// Verdict says whether requests with one fingerprint crash upstreams.
type Verdict string

// The verdicts on requests with one fingerprint.
const (
	VerdictNone Verdict = ""
	// VerdictSuspect means that upstreams were lost while they ran the request, too few
	// for a conviction.
	VerdictSuspect Verdict = "suspect"
	// VerdictCleared means that an upstream ran the request and did not crash: in a run on
	// its own or, for a routed request, in any run, also that of a single shard.
	VerdictCleared Verdict = "cleared"
	// VerdictConvicted means that ConvictAfterCrashes upstreams were lost, each while it ran
	// only this request or, for a routed request, one after the other.
	VerdictConvicted Verdict = "convicted"
)

// Quarantine stores the verdicts on requests that may crash upstreams.
type Quarantine struct {
	clock  Clock
	notify func(Fact)

	mu       sync.Mutex
	verdicts map[string]verdictEntry
}

type verdictEntry struct {
	verdict Verdict
	// stamp orders the verdicts on one fingerprint among instances.
	stamp uint64
	// crashes is the number of upstreams that were lost.
	crashes int
	at      Millis
	// lostAt is when the last upstream that crashed was lost or, for a verdict of a peer,
	// when the peer reached it.
	lostAt Millis
	// trialDue is when a convicted request may be tried again, and triedAt when this instance
	// last began to. They are zero if there is no trial.
	trialDue, triedAt Millis
}

// NewQuarantine returns an empty quarantine. It calls notify for each verdict that this
// instance reaches, but not for those of peers.
func NewQuarantine(clock Clock, notify func(Fact)) *Quarantine {
	return &Quarantine{clock: clock, notify: notify, verdicts: map[string]verdictEntry{}}
}

// Verdict returns the verdict on the fingerprint, or VerdictNone if there is none or if
// it is older than VerdictTTLMillis.
func (q *Quarantine) Verdict(fingerprint string) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.entry(fingerprint).verdict
}

// entry returns the entry of the fingerprint. An entry that has expired counts as none, except that
// later verdicts are stamped after it. q.mu must be held.
func (q *Quarantine) entry(fingerprint string) verdictEntry {
	entry := q.verdicts[fingerprint]
	if q.clock.Since(entry.at) > VerdictTTLMillis {
		return verdictEntry{stamp: entry.stamp}
	}
	return entry
}

// Crashes returns how many crashes of upstreams count against the request.
func (q *Quarantine) Crashes(fingerprint string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.entry(fingerprint).crashes
}

// MarkSuspect records that connections to upstreams broke while they ran the request. It
// does nothing if the request is already a suspect or convicted.
func (q *Quarantine) MarkSuspect(fingerprint string) {
	q.mu.Lock()
	entry := q.entry(fingerprint)
	if entry.verdict == VerdictSuspect || entry.verdict == VerdictConvicted {
		q.mu.Unlock()
		return
	}
	fact := q.setVerdict(fingerprint, VerdictSuspect, entry.crashes)
	q.mu.Unlock()
	q.notify(fact)
}

// MarkCleared records that an upstream survived the request. It does nothing if there is
// no earlier verdict.
func (q *Quarantine) MarkCleared(fingerprint string) {
	q.mu.Lock()
	entry := q.entry(fingerprint)
	if entry.verdict == VerdictNone || entry.verdict == VerdictCleared {
		q.mu.Unlock()
		return
	}
	fact := q.setVerdict(fingerprint, VerdictCleared, 0)
	q.mu.Unlock()
	q.notify(fact)
}

// RecordIsolatedCrash records that an upstream was lost while it ran only this request,
// and returns the new verdict.
func (q *Quarantine) RecordIsolatedCrash(fingerprint string) Verdict {
	now := q.clock.Now()
	return q.RecordSharedCrash(fingerprint, now, now)
}

// RecordSharedCrash records that an upstream was lost while it ran an attempt, possibly
// among other requests, and returns the new verdict. sent and lostAt are when the attempt
// was sent and when the upstream was lost. An attempt that was sent before the previous
// upstream was lost does not count: a single cause may have crashed both upstreams. Once the
// request is convicted, only a crash in a trial of this instance counts.
func (q *Quarantine) RecordSharedCrash(fingerprint string, sent, lostAt Millis) Verdict {
	q.mu.Lock()
	entry := q.entry(fingerprint)
	isTrial := entry.triedAt != 0 && sent >= entry.triedAt
	if (entry.verdict == VerdictConvicted && !isTrial) || (entry.crashes > 0 && sent < entry.lostAt) {
		q.mu.Unlock()
		return entry.verdict
	}
	verdict := VerdictSuspect
	if entry.crashes+1 >= ConvictAfterCrashes {
		verdict = VerdictConvicted
	}
	fact := q.setVerdict(fingerprint, verdict, entry.crashes+1)
	entry = q.verdicts[fingerprint]
	entry.lostAt = lostAt
	q.verdicts[fingerprint] = entry
	q.mu.Unlock()
	q.notify(fact)
	return verdict
}

// Apply stores a verdict of a peer if it is newer than the known one.
func (q *Quarantine) Apply(fact Fact) {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry := q.verdicts[fact.Subject]
	if entry.stamp >= fact.Stamp {
		return
	}
	at := q.clock.Now() - fact.Age
	q.verdicts[fact.Subject] = verdictEntry{
		verdict:  fact.Verdict,
		stamp:    fact.Stamp,
		crashes:  fact.Crashes,
		at:       at,
		lostAt:   at,
		trialDue: newTrialDue(fact.Verdict, fact.Crashes, at),
	}
}

// newTrialDue returns when a request may be tried again that was convicted, or last tried, at the
// given time after the given number of crashes. It returns zero for another verdict, and if the
// request is not tried again.
func newTrialDue(verdict Verdict, crashes int, at Millis) Millis {
	trials := max(0, crashes-ConvictAfterCrashes)
	if verdict != VerdictConvicted || trials >= MaxTrials {
		return 0
	}
	delay := TrialDelayMillis
	for range trials {
		delay *= TrialDelayFactor
	}
	return at + delay + Millis(rand.Int64N(int64(delay/2)))
}

// TrialDue returns when the convicted request may be tried again. It returns none if it is not
// convicted, or not tried before the verdict expires.
func (q *Quarantine) TrialDue(fingerprint string) Option[Millis] {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry := q.entry(fingerprint)
	if entry.verdict != VerdictConvicted || entry.trialDue == 0 {
		return None[Millis]()
	}
	return Some(entry.trialDue)
}

// BeginTrial reports whether the convicted request may be tried now. If so, the next trial is due
// only after another delay, also at the other instances.
func (q *Quarantine) BeginTrial(fingerprint string) bool {
	q.mu.Lock()
	entry := q.entry(fingerprint)
	now := q.clock.Now()
	if entry.verdict != VerdictConvicted || entry.trialDue == 0 || now < entry.trialDue {
		q.mu.Unlock()
		return false
	}
	fact := q.setVerdict(fingerprint, VerdictConvicted, entry.crashes)
	entry = q.verdicts[fingerprint]
	entry.triedAt = now
	q.verdicts[fingerprint] = entry
	q.mu.Unlock()
	q.notify(fact)
	return true
}

// setVerdict stores a verdict with the next stamp, and returns the fact that reports it
// to peers. q.mu must be held.
func (q *Quarantine) setVerdict(fingerprint string, verdict Verdict, crashes int) Fact {
	now := q.clock.Now()
	q.expire(now)
	stamp := max(uint64(now), q.verdicts[fingerprint].stamp+1)
	q.verdicts[fingerprint] = verdictEntry{
		verdict: verdict, stamp: stamp, crashes: crashes, at: now, trialDue: newTrialDue(verdict, crashes, now),
	}
	return Fact{Kind: FactVerdict, Subject: fingerprint, Stamp: stamp, Verdict: verdict, Crashes: crashes}
}

// expire removes verdicts older than VerdictTTLMillis. q.mu must be held.
func (q *Quarantine) expire(now Millis) {
	for fingerprint, entry := range q.verdicts {
		if now-entry.at > VerdictTTLMillis {
			delete(q.verdicts, fingerprint)
		}
	}
}

// VerdictState is one verdict and when it was reached, for the state dump.
type VerdictState struct {
	Fingerprint string
	Verdict     Verdict
	At          Millis
}

// State returns all stored verdicts in no particular order.
func (q *Quarantine) State() []VerdictState {
	q.mu.Lock()
	defer q.mu.Unlock()
	states := make([]VerdictState, 0, len(q.verdicts))
	for fingerprint, entry := range q.verdicts {
		states = append(states, VerdictState{Fingerprint: fingerprint, Verdict: entry.verdict, At: entry.at})
	}
	return states
}
