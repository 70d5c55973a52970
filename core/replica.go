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
	freshAt   Millis

	// down is set when a connection broke or could not be made, until the
	// upstream is heard again.
	down bool
	// broken is set when a connection broke after a request was sent on it, until the
	// upstream is heard again. It may have lost one answer only.
	broken bool
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

// observe takes in a status. It returns false for one of a former incarnation.
func (r *replica) observe(status UpstreamStatus, source string, now Millis) bool {
	if status.Incarnation < r.incarnation {
		return false
	}
	if status.Incarnation > r.incarnation {
		r.restart(status.Incarnation, now)
	}
	if source == sourceUpstream {
		r.heardAt = now
		r.down, r.broken = false, false
		r.probeFailures = 0
		r.load = status.Load
	}
	if status.Snapshots != nil {
		r.snapshots = status.Snapshots
	}
	if status.Phase == PhaseLeaving {
		r.leave(source, now)
	}
	if r.phase != PhaseLeaving {
		r.phase = status.Phase
	}
	return true
}

// restart forgets what was known of the former incarnation.
func (r *replica) restart(incarnation uint64, now Millis) {
	r.incarnation = incarnation
	r.phase = PhaseUnknown
	r.snapshots = nil
	r.leavingSource = ""
	r.leavingSince = 0
	r.down, r.broken = false, false
	r.probeFailures = 0
	r.failures = 0
	r.ejections = 0
	r.ejectedUntil = 0
	r.freshAt = now
}

func (r *replica) leave(source string, now Millis) {
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
	if r.down || r.broken {
		return r.probeFailures > 0
	}
	return r.probeFailures >= UnreachableAfterProbes
}

// suspect reports whether the upstream fell silent or broke a connection and was not
// heard since.
func (r *replica) suspect() bool {
	return r.phase == PhaseLive && (r.down || r.broken || r.probeFailures > 0)
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

func (r *replica) hasRoom(exclusive bool) bool {
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
	if age := now - r.freshAt; r.freshAt > 0 && age < SlowStartMillis {
		rest := 1 - float64(age)/float64(SlowStartMillis)
		score *= 1 + (SlowStartFactor-1)*rest
	}
	return score
}

// succeed records the latency of a reply.
func (r *replica) succeed(latency, now Millis) {
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

// slow records that an attempt was still without a reply after waited.
func (r *replica) slow(waited, now Millis) {
	least := LateFactor * float64(waited)
	switch {
	case r.latency == 0:
		r.latency = least
	case least > r.latency:
		r.latency += LatencyWeight * (least - r.latency)
	}
	r.usedAt = now
}

// heard records that the upstream replied.
func (r *replica) heard(now Millis) {
	r.heardAt = now
	r.down, r.broken = false, false
	r.probeFailures = 0
}

// silent records that an attempt has waited without a reply. An upstream that
// was not heard at all meanwhile gets no requests until a probe reaches it.
func (r *replica) silent(since Millis) bool {
	if r.heardAt > since || r.unreachable() {
		return false
	}
	r.down = true
	r.probeFailures = max(r.probeFailures, 1)
	return true
}

// shed lowers the concurrency limit after the upstream refused for want of room.
func (r *replica) shed() {
	r.limit = max(1, r.limit*LimitDecrease)
}

// failed raises the rate of errors.
func (r *replica) failed() {
	r.errorRate += ErrorWeight * (1 - r.errorRate)
}

// fail counts a failure and ejects the replica after several in a row.
func (r *replica) fail(now Millis) {
	r.failed()
	r.failures++
	if r.failures < EjectAfterFailures {
		return
	}
	pause := EjectMinMillis << min(r.ejections, 5)
	r.ejectedUntil = now + min(pause, EjectMaxMillis)
	r.ejections++
	r.failures = 0
}
