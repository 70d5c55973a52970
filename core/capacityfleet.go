package core

import "slices"

// EstimateChange describes an upstream whose capacity estimate has changed much.
type EstimateChange struct {
	Name    string
	Service string
	// Speed is the latency without load as a multiple of what is usual at the service.
	Speed float64
	// Knee is the load at which latency begins to rise, as a fraction of the slots.
	Knee float64
	// LatencyMillis is the latency to expect of one more request.
	LatencyMillis float64
}

// OnEstimateChange registers a function that is called when the capacity estimate of an upstream
// has changed much, at most once in a few seconds for each upstream. The lock of the Fleet is
// held during the call, so the function must not call the Fleet.
func (f *Fleet) OnEstimateChange(report func(EstimateChange)) {
	f.onEstimateChange = report
}

// EstimatesCapacity reports whether selection uses capacity estimates.
func (f *Fleet) EstimatesCapacity() bool {
	return f.policy.EstimateCapacity && !f.policy.RandomReplica
}

// estimateLatency updates the capacity estimate from a whole reply. f.mu must be held.
func (f *Fleet) estimateLatency(p *Permit, latency, now Millis) {
	r := p.replica
	s, ok := f.services[r.service]
	if r.estimate == nil || !ok || p.since < r.restartedAt {
		return
	}
	load, reported := p.load.Get()
	reported = reported && load.Slots > 0
	if reported {
		r.estimate.recordLoad(load, r.inFlight-1, now)
		s.recordLoad(r.estimate.load.last)
	}
	millis := max(1, float64(latency))
	before := r.estimate.speed.usual
	relative := millis / s.usual.reference(p.want.Kind, millis/r.estimate.slowdownAt(now))
	r.estimate.recordLatency(relative, reported, s.usual.paceOrDefault(), now)
	if r.estimate.speed.usual != before {
		s.updatePace()
	}
	if f.onEstimateChange != nil && r.estimate.changedMuch(s.usual.paceOrDefault(), now) {
		f.onEstimateChange(f.announceEstimate(s, r, now))
	}
}

// estimateWait updates the capacity estimate from an attempt without a reply. ended is whether
// it was given up. f.mu must be held.
func (f *Fleet) estimateWait(p *Permit, ended bool, now Millis) {
	r := p.replica
	s, ok := f.services[r.service]
	if r.estimate == nil || !ok || p.since < r.restartedAt {
		return
	}
	if reference, known := s.usual.references[p.want.Kind]; known {
		r.estimate.recordWait(float64(now-p.since)/reference.value, ended, now)
		s.updatePace()
	}
}

// recordLoad updates the usual load of the service with that of one upstream.
func (s *service) recordLoad(load float64) {
	s.usual.load += ServiceLoadWeight * (load - s.usual.load)
}

// updatePace computes the median speed of the measured upstreams, the lower one of two.
func (s *service) updatePace() {
	speeds := s.speeds[:0]
	for _, r := range s.replicas {
		if r.estimate != nil && r.estimate.speed.samples > 0 {
			speeds = append(speeds, r.estimate.speed.usual)
		}
	}
	s.speeds = speeds
	if len(speeds) == 0 {
		return
	}
	slices.Sort(speeds)
	s.usual.pace = speeds[(len(speeds)-1)/2]
}

// announceEstimate records that the estimate is announced and returns the announcement.
func (f *Fleet) announceEstimate(s *service, r *replica, now Millis) EstimateChange {
	e := r.estimate
	e.announcedSpeed, e.announcedKnee, e.announcedAt = e.speed.usual/s.usual.paceOrDefault(), e.rise.knee, now
	return EstimateChange{
		Name: r.upstream.Name, Service: r.service, Speed: e.announcedSpeed, Knee: e.rise.knee,
		LatencyMillis: e.expectedLatency(&s.usual, r.inFlight, now) * s.usual.latency,
	}
}

// bestEstimated returns the replica with the lowest score by the capacity estimates. Scores vary
// at random by up to SelectionSpread, so that instances with the same information don't all
// choose the same replica.
func (f *Fleet) bestEstimated(s *service, usable []*replica, want Want, now Millis) *replica {
	var best *replica
	bestScore := 0.0
	for _, r := range usable {
		score := f.estimatedScore(s, r, now) * (1 + SelectionSpread*f.random())
		if !r.hasCapacity(want.Exclusive, now) {
			score *= float64(2 + len(s.waiters))
		}
		if best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// estimatedScore estimates the time that one more request to the replica takes, relative to the
// reference latency of its kind.
func (f *Fleet) estimatedScore(s *service, r *replica, now Millis) float64 {
	return r.adjust(r.estimate.expectedLatency(&s.usual, r.inFlight, now), f.zone, now)
}

// exploreEstimate reports whether the estimate of a replica should be measured again: it is old,
// the replica would be selected if it were as fast as is usual, and the service has capacity for
// an extra attempt.
func (f *Fleet) exploreEstimate(s *service, r *replica, now Millis) bool {
	if s.usual.load > ExploreMaxLoad || !r.estimate.exploreDue(s.usual.paceOrDefault(), now) {
		return false
	}
	if r.estimate.speed.samples == 0 {
		return true
	}
	possible := r.adjust(s.usual.paceOrDefault(), f.zone, now)
	return !slices.ContainsFunc(s.replicas, func(o *replica) bool {
		return o != r && o.routable() && f.estimatedScore(s, o, now)*(1+SelectionSpread) < possible
	})
}

// newEstimate returns an empty capacity estimate, or nil if estimates aren't used.
func (f *Fleet) newEstimate() *capacityEstimate {
	if !f.EstimatesCapacity() {
		return nil
	}
	return newCapacityEstimate()
}
