package core

import "slices"

// UpstreamSignals is what an upstream states about itself in a response to a request or to a health
// check. A response from another upstream states nothing.
type UpstreamSignals struct {
	Cold ColdStatement
	// Leaving is set if the upstream is leaving.
	Leaving bool
	// Pause is how long the upstream accepts no requests of this instance, or zero.
	Pause Millis
	// Invalid names the header fields that were ignored because they can't be read.
	Invalid []string
}

// PauseChange describes that an upstream begins or ceases to be paused.
type PauseChange struct {
	Name    string
	Service string
	// Pause is the length of the pause, or zero if it has ended.
	Pause Millis
}

// upstreamMarks holds what an upstream has stated about itself and what outlives its entry in the
// instance list, so that an older list does not undo it.
type upstreamMarks struct {
	// leaving is the latest incarnation that is known to be leaving, learned from source.
	leaving Option[uint64]
	source  string
	// pausedUntil is when the upstream accepts requests of this instance again.
	pausedUntil Millis
	// reportedPause is set from when a pause was reported until its end was.
	reportedPause bool
	// changedAt is when one of these was last learned.
	changedAt Millis
}

// markLeaving records that an incarnation is leaving.
func (m *upstreamMarks) markLeaving(incarnation uint64, source string, now Millis) {
	if known, ok := m.leaving.Get(); ok && known >= incarnation {
		return
	}
	m.leaving, m.source, m.changedAt = Some(incarnation), source, now
}

// isLeaving reports whether the incarnation is known to be leaving.
func (m *upstreamMarks) isLeaving(incarnation uint64) bool {
	known, ok := m.leaving.Get()
	return ok && known >= incarnation
}

// pause lengthens the pause. It never shortens it.
func (m *upstreamMarks) pause(length, now Millis) {
	m.pausedUntil = max(m.pausedUntil, now+min(length, MaxPauseMillis))
	m.changedAt = now
}

// paused reports whether the upstream accepts no requests of this instance.
func (m *upstreamMarks) paused(now Millis) bool {
	return now < m.pausedUntil
}

// marksOf returns the marks of the upstream with the name. f.mu must be held.
func (f *Fleet) marksOf(name string) *upstreamMarks {
	marks, ok := f.marks[name]
	if !ok {
		marks = &upstreamMarks{}
		f.marks[name] = marks
	}
	return marks
}

// retainMarks forgets the marks of unknown upstreams that did not change for MarksTTLMillis. f.mu must
// be held.
func (f *Fleet) retainMarks() {
	now := f.clock.Now()
	for name, marks := range f.marks {
		if _, known := f.replicas[name]; !known && now-marks.changedAt > MarksTTLMillis {
			delete(f.marks, name)
		}
	}
}

// OnInvalidSignals registers a function that is called with the name of an upstream and the header
// fields of its response that can't be read.
func (f *Fleet) OnInvalidSignals(report func(name string, fields []string)) {
	f.onInvalidSignals = report
}

// OnPauseChange registers a function that is called when an upstream begins or ceases to be paused. The
// lock of the Fleet is held during the call, so the function must not call the Fleet.
func (f *Fleet) OnPauseChange(report func(PauseChange)) {
	f.onPauseChange = report
}

// reportInvalidSignals calls the OnInvalidSignals function if there are such fields.
func (f *Fleet) reportInvalidSignals(name string, fields []string) {
	if len(fields) > 0 && f.onInvalidSignals != nil {
		f.onInvalidSignals(name, fields)
	}
}

// RecordSignals applies what an incarnation of an upstream states in the response to a request that
// was sent at sentAt.
func (f *Fleet) RecordSignals(name string, incarnation uint64, signals UpstreamSignals, sentAt Millis) {
	f.reportInvalidSignals(name, signals.Invalid)
	f.recordCold(name, incarnation, signals.Cold, coldFromUpstream, sentAt)
	if signals.Leaving {
		f.MarkLeaving(name, incarnation, "response")
	}
	if signals.Pause > 0 {
		f.recordPause(name, signals.Pause)
	}
}

// RecordSignals records what the reply states about the upstream.
func (p *Permit) RecordSignals(signals UpstreamSignals) {
	p.fleet.RecordSignals(p.target.Name, p.target.Incarnation, signals, p.since)
}

// recordPause pauses an upstream, and gives permits to the waiters of its service when the pause ends.
func (f *Fleet) recordPause(name string, length Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	marks := f.marksOf(name)
	before := marks.pausedUntil
	marks.pause(length, now)
	if marks.pausedUntil == before {
		return
	}
	f.clock.AfterFunc(marks.pausedUntil-now, func() { f.endPause(name) })
	if r, ok := f.replicas[name]; ok {
		f.reportPause(r, now)
		f.regrant(r.service)
	}
}

// endPause reports the end of a pause, unless it was lengthened.
func (f *Fleet) endPause(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[name]; ok {
		f.reportPause(r, f.clock.Now())
		f.regrant(r.service)
	}
}

// reportPause calls the OnPauseChange function if the upstream began or ceased to be paused since the
// last call for it. f.mu must be held.
func (f *Fleet) reportPause(r *replica, now Millis) {
	paused := r.marks.paused(now)
	if paused == r.marks.reportedPause {
		return
	}
	r.marks.reportedPause = paused
	if f.onPauseChange != nil {
		f.onPauseChange(PauseChange{Name: r.upstream.Name, Service: r.service, Pause: max(0, r.marks.pausedUntil-now)})
	}
}

// admits reports whether neither a pause nor a request limit forbids a request now.
func (r *replica) admits(now Millis) bool {
	return !r.marks.paused(now) && r.requestLimit.admits(now)
}

// blockedFor returns how long a pause or a request limit forbids requests. It returns nothing if
// neither does or if it is not known.
func (r *replica) blockedFor(now Millis) Option[Millis] {
	limit := r.requestLimit
	until := r.marks.pausedUntil
	if !limit.admits(now) {
		until = max(until, limit.blockedUntil)
		if !r.marks.paused(now) && limit.pending() > 0 {
			return None[Millis]()
		}
	}
	if until <= now {
		return None[Millis]()
	}
	return Some(until - now)
}

// pauseError returns a *LimitedError if all replicas of a service that could run a request are paused or
// at their request limits, and some are paused. Otherwise it returns nil.
func (f *Fleet) pauseError(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[name]
	if !ok {
		return nil
	}
	now := f.clock.Now()
	candidates := f.usable(s, Want{}, now)
	wait, blocked := f.limitWait(candidates, now).Get()
	if !blocked || !anyPaused(candidates, now) {
		return nil
	}
	return &LimitedError{Wait: wait, Paused: true}
}

// anyPaused reports whether one of the replicas is paused.
func anyPaused(replicas []*replica, now Millis) bool {
	return slices.ContainsFunc(replicas, func(r *replica) bool { return r.marks.paused(now) })
}
