package core

import "math"

// replica holds the state of one upstream as this instance knows it.
type replica struct {
	upstream   Upstream
	service    string
	healthPath string
	// slots is how many requests the upstream runs at once, for all instances.
	slots int
	// share is how many connections this instance may open to the upstream.
	share int

	incarnation uint64
	phase       Phase
	snapshots   map[string]Set[uint64]
	load        float64
	// heardAt is the time of the last reply.
	heardAt Millis

	// leavingSource names where it was first learned that the upstream is leaving.
	leavingSource string
	leavingSince  Millis

	// evacuated is set while the upstream's zone is evacuated.
	evacuated bool

	inFlight int
	// exclusive is set while a request has the replica to itself.
	exclusive bool
	// limit is the adaptive concurrency limit of this instance.
	limit float64
	// requestLimit is the limit that the upstream names for all instances together.
	requestLimit *upstreamLimit
	// marks is what the upstream has stated about itself.
	marks *upstreamMarks
	// latency is a moving average, in milliseconds.
	latency float64
	// usedAt is when latency was last updated.
	usedAt Millis
	// restartedAt is when a new incarnation was first seen. Slow start begins then.
	restartedAt Millis

	// down is set when a connection broke, could not be opened or carried no reply for
	// too long. The next reply of the upstream clears it. Until then the replica gets
	// requests only if its service has no other, and none after a failed probe.
	down bool
	// connectionLost is set when a connection broke after a request was sent on it, and
	// the attempt asked to keep the replica in use: one answer may be all that was lost.
	// The next reply of the upstream clears it.
	connectionLost bool
	// probeFailures counts failed probes since the last reply.
	probeFailures int

	// errorRate is the share of recent attempts that failed, as a moving average.
	errorRate float64

	// failures and ejections count those since the last success. An ejection sets
	// failures to zero.
	failures     int
	ejections    int
	ejectedUntil Millis

	// estimate is the capacity estimate, or nil if Policy.EstimateCapacity is not set.
	estimate *capacityEstimate

	// reportedInUse is whether the upstream was in use at the last call of Fleet.onChange.
	reportedInUse bool
}

func newReplica(service Service, upstream Upstream, share int, limit *upstreamLimit, marks *upstreamMarks) *replica {
	r := &replica{upstream: upstream, service: service.Name, healthPath: service.HealthPath, requestLimit: limit, marks: marks}
	r.resize(service.Slots, share)
	return r
}

// resize sets the slots and the share, and resets the concurrency limit to the
// smaller of the two, but at least 1.
func (r *replica) resize(slots, share int) {
	r.slots = slots
	r.share = share
	r.limit = float64(max(1, min(share, slots)))
}

func (r *replica) target() Target {
	return Target{
		Name:           r.upstream.Name,
		Address:        r.upstream.Address,
		Service:        r.service,
		MaxConnections: r.share,

		HealthPath:  r.healthPath,
		Incarnation: r.incarnation,
	}
}

// update applies a status. It ignores the status of an earlier incarnation and
// returns false for it.
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
		r.marks.markLeaving(status.Incarnation, source, now)
	}
	if r.marks.isLeaving(r.incarnation) {
		r.markLeaving(r.marks.source, now)
	}
	if r.phase != PhaseLeaving {
		r.phase = status.Phase
	}
	return true
}

// reset discards the state of the previous incarnation.
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
	r.requestLimit.resetFor(incarnation, now)
	r.restartedAt = now
	if r.estimate != nil {
		r.estimate = newCapacityEstimate()
	}
}

// markLeaving sets the leaving phase, which lasts until the next incarnation.
func (r *replica) markLeaving(source string, now Millis) {
	if r.phase == PhaseLeaving {
		return
	}
	r.phase = PhaseLeaving
	r.leavingSource = source
	r.leavingSince = now
}

// routable reports whether the upstream is live, is not in an evacuated zone and was not found
// unreachable.
func (r *replica) routable() bool {
	return r.phase == PhaseLive && !r.evacuated && !r.unreachable()
}

// unreachable reports whether probes have confirmed that the upstream can't be
// reached. It gets no requests until a probe reaches it again.
func (r *replica) unreachable() bool {
	if r.down || r.connectionLost {
		return r.probeFailures > 0
	}
	return r.probeFailures >= UnreachableAfterProbes
}

// suspect reports whether a live upstream stopped replying or lost a connection, and
// has not replied since. Upstreams in evacuated zones are not suspects, as they must not be probed.
func (r *replica) suspect() bool {
	return r.phase == PhaseLive && !r.evacuated && (r.down || r.connectionLost || r.probeFailures > 0)
}

func (r *replica) serves(collection string, snapshot uint64) bool {
	return r.snapshots[collection].Has(snapshot)
}

func (r *replica) ejected(now Millis) bool {
	return now < r.ejectedUntil
}

// capacity returns how many requests of this instance may be in flight.
func (r *replica) capacity() int {
	return min(r.share, int(math.Floor(r.limit)))
}

// rampedCapacity returns how many requests of this instance may be in flight now. After a cold period
// and after a pause it rises to the whole capacity over SlowStartMillis.
func (r *replica) rampedCapacity(now Millis) int {
	age := now - r.returnedAt(now)
	if age >= SlowStartMillis {
		return r.capacity()
	}
	fraction := RampMinFraction + (1-RampMinFraction)*float64(age)/float64(SlowStartMillis)
	return int(math.Ceil(float64(r.capacity()) * fraction))
}

// returnedAt returns when the last cold period or pause of the upstream ended, or zero.
func (r *replica) returnedAt(now Millis) Millis {
	latest := Millis(0)
	for _, end := range []Millis{r.requestLimit.cold.end(), r.marks.pausedUntil} {
		if end <= now {
			latest = max(latest, end)
		}
	}
	return latest
}

// hasCapacity reports whether one more request may be sent. An exclusive request
// requires that no other request of this instance is in flight.
func (r *replica) hasCapacity(exclusive bool, now Millis) bool {
	if r.exclusive {
		return false
	}
	if exclusive {
		return r.inFlight == 0 && r.share > 0
	}
	return r.inFlight < r.rampedCapacity(now)
}

// expectedLatency returns the latency to expect now, in milliseconds. The part of a
// slow replica's latency above median, the median latency of its service, decays
// exponentially while the replica is not used.
func (r *replica) expectedLatency(median float64, now Millis) float64 {
	if median == 0 || r.latency <= median {
		return r.latency
	}
	return median + (r.latency-median)*math.Exp2(-float64(now-r.usedAt)/float64(LatencyHalfLifeMillis))
}

// score estimates the time that a request to the replica would take. Lower is better.
func (r *replica) score(zone string, median float64, now Millis) float64 {
	return r.adjust(max(r.expectedLatency(median, now), 1)*float64(r.inFlight+1), zone, now)
}

// adjust applies the error rate, the preference for the instance's own zone and slow start to
// an expected latency.
func (r *replica) adjust(latency float64, zone string, now Millis) float64 {
	score := latency * (1 + ErrorPenalty*r.errorRate)
	if r.upstream.Zone == zone {
		score *= LocalBias
	}
	started := max(r.restartedAt, r.returnedAt(now))
	if age := now - started; started > 0 && age < SlowStartMillis {
		remaining := 1 - float64(age)/float64(SlowStartMillis)
		score *= 1 + (SlowStartFactor-1)*remaining
	}
	return score
}

// recordSuccess records the latency of a whole reply. The first one after
// ExploreIntervalMillis without use replaces the average.
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

// recordSlow records that an attempt has waited for the given time without a reply.
// It never lowers the latency.
func (r *replica) recordSlow(waited, now Millis) {
	estimate := LateFactor * float64(waited)
	switch {
	case r.latency == 0:
		r.latency = estimate
	case estimate > r.latency:
		r.latency += LatencyWeight * (estimate - r.latency)
	}
	r.usedAt = now
}

// recordReply records that the upstream replied, and so can be reached.
func (r *replica) recordReply(now Millis) {
	r.heardAt = now
	r.down, r.connectionLost = false, false
	r.probeFailures = 0
}

// recordSilence records that a reply is overdue. If the upstream has sent no reply
// later than since, it gets no requests until a probe reaches it. recordSilence
// returns whether this changed the state.
func (r *replica) recordSilence(since Millis) bool {
	if r.heardAt > since || r.unreachable() {
		return false
	}
	r.down = true
	r.probeFailures = max(r.probeFailures, 1)
	return true
}

// lowerLimit reduces the concurrency limit after the upstream refused a request
// because it was overloaded.
func (r *replica) lowerLimit() {
	r.limit = max(1, r.limit*LimitDecrease)
}

// raiseErrorRate adds a failed attempt to the error rate.
func (r *replica) raiseErrorRate() {
	r.errorRate += ErrorWeight * (1 - r.errorRate)
}

// recordFailure counts a failure and ejects the replica after EjectAfterFailures in
// a row. Each further ejection lasts twice as long, up to EjectMaxMillis, until an
// attempt succeeds.
func (r *replica) recordFailure(now Millis) {
	r.raiseErrorRate()
	r.failures++
	if r.failures < EjectAfterFailures {
		return
	}
	duration := EjectMinMillis << min(r.ejections, 5)
	r.ejectedUntil = now + min(duration, EjectMaxMillis)
	r.ejections++
	r.failures = 0
}
