package core

import "context"

// Permit allows one request to one upstream. It occupies capacity of the replica
// until it is released.
type Permit struct {
	fleet   *Fleet
	replica *replica
	target  Target
	// since is when the permit was granted.
	since Millis
	// tokenExpires is when the token that the permit has used up expires. It is zero if no token
	// was needed.
	tokenExpires Millis

	want     Want
	released bool
	// load is the load that the reply reported.
	load Option[UpstreamLoad]
}

// Target returns the upstream to which the request may be sent.
func (p *Permit) Target() Target {
	return p.target
}

// Sendable reports whether the upstream may still receive new requests. It must be
// called right before sending, because the upstream may have become unusable since
// the permit was granted.
func (p *Permit) Sendable() bool {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	current, known := f.replicas[p.target.Name]
	return known && current == p.replica && p.replica.routable() && !p.outdated(f.clock.Now())
}

// outdated reports whether the upstream was paused since the permit was granted, or is cold and the
// permit has no token that is still valid: it has turned cold since, or the token has expired.
func (p *Permit) outdated(now Millis) bool {
	return p.replica.marks.paused(now) || p.replica.requestLimit.cold.active(now) && p.tokenExpires <= now
}

// confirm returns a function that waits until a suspension of the process, if there was one, is
// dealt with, and then returns ErrNotSendable unless the upstream may still receive new requests. It
// checks for a suspension only if the permit was granted at least maxCheckAge ago, because the check
// costs a system call for each shard of a request.
func (p *Permit) confirm(pause *PauseGuard) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		if p.fleet.clock.Since(p.since) >= maxCheckAge {
			if err := pause.Await(ctx); err != nil {
				return err
			}
		}
		if !p.Sendable() {
			return ErrNotSendable
		}
		return nil
	}
}

// Succeed records a whole reply and releases the permit.
func (p *Permit) Succeed(status UpstreamStatus) {
	f := p.fleet
	now := f.clock.Now()
	f.mu.Lock()
	latency := now - p.since
	p.replica.recordSuccess(latency, now)
	f.estimateLatency(p, latency, now)
	if s, ok := f.services[p.want.Service]; ok {
		s.window.add(latency)
	}
	f.mu.Unlock()
	f.Observe(p.target.Name, status)
	p.Release()
}

// Complete records a whole reply that carries no upstream status, and releases the
// permit. It returns the latency.
func (p *Permit) Complete() Millis {
	f := p.fleet
	now := f.clock.Now()
	latency := now - p.since
	f.mu.Lock()
	p.replica.recordSuccess(latency, now)
	f.estimateLatency(p, latency, now)
	f.recordReply(p.replica, now)
	f.mu.Unlock()
	p.Release()
	return latency
}

// RecordReply records that the upstream replied, whatever the reply was.
func (p *Permit) RecordReply() {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordReply(p.replica, f.clock.Now())
}

// RecordLoad keeps the load that the reply reports for Complete.
func (p *Permit) RecordLoad(load Option[UpstreamLoad]) {
	p.load = load
}

// RecordLimit records what the reply states about the request limit of the upstream.
func (p *Permit) RecordLimit(statement LimitStatement) {
	p.fleet.recordLimit(p.replica, statement, p.since)
}

// RecordSilence records that the attempt has waited for SilentAfterMillis without a reply.
func (p *Permit) RecordSilence() {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !p.released && p.replica.recordSilence(p.since) {
		f.alert()
		f.reportChange(p.replica, "no reply")
	}
}

// Fail records a failed attempt and releases the permit.
func (p *Permit) Fail(failure *AttemptError) {
	f := p.fleet
	now := f.clock.Now()
	f.mu.Lock()
	switch failure.Kind {
	case FailureNotRun:
		// A pause already keeps requests away for as long as the upstream wants.
		if !p.replica.marks.paused(now) {
			p.replica.lowerLimit()
			p.replica.raiseErrorRate()
		}
	case FailureTimeout:
		p.replica.recordSlow(now-p.since, now)
		f.estimateWait(p, true, now)
	case FailureNoSnapshot:
	case FailureMisdirected:
		p.replica.markLeaving("another upstream has its address", now)
	case FailureLost:
		if p.want.KeepOnConnectionLoss {
			p.replica.connectionLost = true
		} else {
			p.replica.down = true
		}
		p.replica.recordFailure(now)
	case FailureNotSent:
		p.replica.down = p.replica.down || failure.connectFailed()
	default:
		p.replica.recordFailure(now)
	}
	if p.replica.suspect() {
		f.alert()
	}
	f.reportChange(p.replica, string(failure.Kind))
	f.mu.Unlock()
	if status, ok := failure.Status.Get(); ok {
		f.Observe(p.target.Name, status)
	}
	if failure.Kind == FailureNoSnapshot {
		f.DropSnapshot(p.target.Name, p.want.Collection, p.want.Snapshot)
	}
	p.Release()
}

// RecordSlow records that the attempt is late but still under way.
func (p *Permit) RecordSlow() {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	p.replica.recordSlow(now-p.since, now)
	f.estimateWait(p, false, now)
	f.recordLate(p.replica, p.since)
}

// Release returns the capacity to the replica. Further calls do nothing.
func (p *Permit) Release() {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.released {
		return
	}
	p.released = true
	p.replica.inFlight--
	p.replica.exclusive = false
	if s, ok := f.services[p.want.Service]; ok {
		f.grant(s)
	}
}
