package core

import "math"

// replica is what the instance knows of one upstream.
type replica struct {
	upstream Upstream
	service  string
	health   string
	slots    int
	share    int

	incarnation uint64
	phase       Phase
	snapshots   map[string]Set[uint64]
	load        float64
	heardAt     Millis

	leavingSource string
	leavingSince  Millis

	inFlight  int
	exclusive bool
	limit     float64
	latency   float64
	usedAt    Millis
	restartedAt   Millis

	// down is set when a connection broke or could not be made, until the
	// upstream is heard again.
	down bool
	// connectionLost is set when a connection broke after a request was sent on it, until the
	// upstream is heard again. It may have lost one answer only.
	connectionLost bool
	// probeFailures counts failed probes since the upstream was last heard.
	probeFailures int

	// errorRate is the part of late attempts that failed.
	errorRate float64

	failures     int
	ejections    int
	ejectedUntil Millis

	// reported is whether the last word on the upstream was that it is in use.
	reported bool
}

func newReplica(service Service, upstream Upstream, share int) *replica {
	r := &replica{upstream: upstream, service: service.Name, health: service.HealthPath}
	r.resize(service.Slots, share)
	return r
}

func (r *replica) resize(slots, share int) {
	r.slots = slots
	r.share = share
	r.limit = float64(max(1, min(share, slots)))
}

func (r *replica) target() Target {
	return Target{
		Name:    r.upstream.Name,
		Address: r.upstream.Address,
		Service: r.service,
		Lanes:   r.share,

		HealthPath:  r.health,
		Incarnation: r.incarnation,
	}
}

// update takes in a status. It returns false for one of a former incarnation.
func (r *replica) update(status UpstreamStatus, source string, now Millis) bool {
	if status.Incarnation < r.incarnation {
		return false
	}
	if status.Incarnation > r.incarnation {
		r.reset(status.Incarnation, now)
	}
	if source == sourceUpstream {
		r.heardAt = now
		r.down, r.connectionLost = false, false
		r.probeFailures = 0
		r.load = status.Load
	}
	if status.Snapshots != nil {
		r.snapshots = status.Snapshots
	}
	if status.Phase == PhaseLeaving {
		r.markLeaving(source, now)
	}
	if r.phase != PhaseLeaving {
		r.phase = status.Phase
	}
	return true
}

// reset forgets what was known of the former incarnation.
func (r *replica) reset(incarnation uint64, now Millis) {
	r.incarnation = incarnation
	r.phase = PhaseUnknown
	r.snapshots = nil
	r.leavingSource = ""
	r.leavingSince = 0
	r.down, r.connectionLost = false, false
	r.probeFailures = 0
	r.failures = 0
	r.ejections = 0
	r.ejectedUntil = 0
	r.restartedAt = now
}

func (r *replica) markLeaving(source string, now Millis) {
	if r.phase == PhaseLeaving {
		return
	}
	r.phase = PhaseLeaving
	r.leavingSource = source
	r.leavingSince = now
}

func (r *replica) routable() bool {
	return r.phase == PhaseLive && !r.unreachable()
}

// unreachable reports whether probes have confirmed that the upstream can't be
// reached. It gets no requests until a probe has reached it again.
func (r *replica) unreachable() bool {
	if r.down || r.connectionLost {
		return r.probeFailures > 0
	}
	return r.probeFailures >= UnreachableAfterProbes
}

// suspect reports whether the upstream fell silent or broke a connection and was not
// heard since.
func (r *replica) suspect() bool {
	return r.phase == PhaseLive && (r.down || r.connectionLost || r.probeFailures > 0)
}

func (r *replica) serves(collection string, snapshot uint64) bool {
	return r.snapshots[collection].Has(snapshot)
}

func (r *replica) ejected(now Millis) bool {
	return now < r.ejectedUntil
}

func (r *replica) capacity() int {
	return min(r.share, int(math.Floor(r.limit)))
}

func (r *replica) hasCapacity(exclusive bool) bool {
	if r.exclusive {
		return false
	}
	if exclusive {
		return r.inFlight == 0 && r.share > 0
	}
	return r.inFlight < r.capacity()
}

// expectedLatency returns the latency to expect now. What is known of a slow
// replica counts for less the longer it has not been used, down to calm, the
// usual latency of its service.
func (r *replica) expectedLatency(calm float64, now Millis) float64 {
	if calm == 0 || r.latency <= calm {
		return r.latency
	}
	return calm + (r.latency-calm)*math.Exp2(-float64(now-r.usedAt)/float64(LatencyHalfLifeMillis))
}

// score estimates the time that a request would take here; less is better.
func (r *replica) score(zone string, calm float64, now Millis) float64 {
	score := max(r.expectedLatency(calm, now), 1) * float64(r.inFlight+1) * (1 + ErrorPenalty*r.errorRate)
	if r.upstream.Zone == zone {
		score *= LocalBias
	}
	if age := now - r.restartedAt; r.restartedAt > 0 && age < SlowStartMillis {
		rest := 1 - float64(age)/float64(SlowStartMillis)
		score *= 1 + (SlowStartFactor-1)*rest
	}
	return score
}

// recordSuccess records the latency of a reply.
func (r *replica) recordSuccess(latency, now Millis) {
	weight := LatencyWeight
	if r.latency == 0 || now-r.usedAt > ExploreIntervalMillis {
		weight = 1
	}
	r.latency += weight * (float64(latency) - r.latency)
	r.usedAt = now
	r.errorRate -= ErrorWeight * r.errorRate
	r.failures = 0
	r.ejections = 0
	r.limit = min(float64(r.share), r.limit+LimitIncrease)
}

// recordSlow records that an attempt was still without a reply after waited.
func (r *replica) recordSlow(waited, now Millis) {
	least := LateFactor * float64(waited)
	switch {
	case r.latency == 0:
		r.latency = least
	case least > r.latency:
		r.latency += LatencyWeight * (least - r.latency)
	}
	r.usedAt = now
}

// recordReply records that the upstream replied.
func (r *replica) recordReply(now Millis) {
	r.heardAt = now
	r.down, r.connectionLost = false, false
	r.probeFailures = 0
}

// recordSilence records that an attempt has waited without a reply. An upstream that
// was not heard at all meanwhile gets no requests until a probe reaches it.
func (r *replica) recordSilence(since Millis) bool {
	if r.heardAt > since || r.unreachable() {
		return false
	}
	r.down = true
	r.probeFailures = max(r.probeFailures, 1)
	return true
}

// lowerLimit lowers the concurrency limit after the upstream refused for want of room.
func (r *replica) lowerLimit() {
	r.limit = max(1, r.limit*LimitDecrease)
}

// raiseErrorRate raises the rate of errors.
func (r *replica) raiseErrorRate() {
	r.errorRate += ErrorWeight * (1 - r.errorRate)
}

// recordFailure counts a failure and ejects the replica after several in a row.
func (r *replica) recordFailure(now Millis) {
	r.raiseErrorRate()
	r.failures++
	if r.failures < EjectAfterFailures {
		return
	}
	pause := EjectMinMillis << min(r.ejections, 5)
	r.ejectedUntil = now + min(pause, EjectMaxMillis)
	r.ejections++
	r.failures = 0
}
