package core

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// countInUse returns the number of replicas in use, which are routable and not down.
func (s *service) countInUse() int {
	count := 0
	for _, r := range s.replicas {
		if r.routable() && !r.down {
			count++
		}
	}
	return count
}

// eligible returns the replicas that may run the request, whether or not they
// have free capacity.
func (f *Fleet) eligible(s *service, want Want) []*replica {
	if want.ExcludeLastReplica && s.countInUse() < 2 {
		return nil
	}
	var allowed []*replica
	for _, r := range s.replicas {
		switch {
		case !r.routable() || r.share < 1 || want.Exclude.Has(r.upstream.Name):
		case want.Snapshot != 0 && !r.serves(want.Collection, want.Snapshot):
		default:
			allowed = append(allowed, r)
		}
	}
	return allowed
}

// tryAcquire returns a permit for the replica that is expected to answer first, out of
// those within their request limits. It returns nil if there is none or if that replica
// has no free capacity.
func (f *Fleet) tryAcquire(s *service, want Want) *Permit {
	now := f.clock.Now()
	candidates := f.withinLimits(s, f.usable(s, want, now), want, now)
	if len(candidates) == 0 {
		return nil
	}
	best := f.best(s, candidates, want, now)
	if !best.hasCapacity(want.Exclusive, now) {
		return nil
	}
	return f.grantPermit(best, want, now)
}

// usable returns the replicas to select from. Among the eligible ones, listed
// replicas are preferred to unlisted ones, then those that are neither down nor
// ejected to the others.
func (f *Fleet) usable(s *service, want Want, now Millis) []*replica {
	candidates := preferred(f.eligible(s, want), func(r *replica) bool { return !r.upstream.Unlisted })
	return preferred(candidates, func(r *replica) bool { return !r.down && !r.ejected(now) })
}

// best returns the replica with the lowest score.
func (f *Fleet) best(s *service, usable []*replica, want Want, now Millis) *replica {
	if f.EstimatesCapacity() {
		return f.bestEstimated(s, usable, want, now)
	}
	return slices.MinFunc(usable, func(a, b *replica) int {
		return cmp.Compare(f.scoreOf(s, a, want, now), f.scoreOf(s, b, want, now))
	})
}

// RemoteZones finds the services whose next request would go to another
// availability zone. The result maps the index of each such service to the other
// zones that have usable replicas.
func (f *Fleet) RemoteZones(services []string) map[int][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	remote := map[int][]string{}
	for index, name := range services {
		s, ok := f.services[name]
		if !ok {
			continue
		}
		usable := f.usable(s, Want{}, now)
		if len(usable) == 0 || f.best(s, usable, Want{}, now).upstream.Zone == f.zone {
			continue
		}
		zones := NewSet[string]()
		for _, r := range usable {
			zones.Add(r.upstream.Zone)
		}
		delete(zones, f.zone)
		remote[index] = zones.Sorted()
	}
	return remote
}

// UpstreamsInZone returns the usable upstreams of a service in an availability
// zone. The result is empty if the service has no usable upstreams in other zones.
func (f *Fleet) UpstreamsInZone(name, zone string) Set[string] {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := NewSet[string]()
	s, ok := f.services[name]
	if !ok {
		return names
	}
	elsewhere := false
	for _, r := range f.usable(s, Want{}, f.clock.Now()) {
		if r.upstream.Zone == zone {
			names.Add(r.upstream.Name)
		} else {
			elsewhere = true
		}
	}
	if !elsewhere {
		return NewSet[string]()
	}
	return names
}

// preferred returns the candidates that match, or all candidates if none matches.
func preferred(candidates []*replica, match func(*replica) bool) []*replica {
	var matching []*replica
	for _, r := range candidates {
		if match(r) {
			matching = append(matching, r)
		}
	}
	if len(matching) == 0 {
		return candidates
	}
	return matching
}

// grantPermit occupies capacity of the replica for one request. f.mu must be held.
func (f *Fleet) grantPermit(r *replica, want Want, now Millis) *Permit {
	r.inFlight++
	expires := r.requestLimit.use(now)
	r.exclusive = want.Exclusive
	return &Permit{fleet: f, replica: r, target: r.target(), since: now, tokenExpires: expires, want: want}
}

// scoreOf estimates the time until the replica replies. For a replica without free
// capacity it includes the wait in the queue. With Policy.RandomReplica the score is
// random.
func (f *Fleet) scoreOf(s *service, r *replica, want Want, now Millis) float64 {
	if f.policy.RandomReplica {
		return rand.Float64()
	}
	score := r.score(f.zone, float64(s.window.quantile(MedianQuantile).Or(0)), now)
	if !r.hasCapacity(want.Exclusive, now) {
		score *= float64(2 + len(s.waiters))
	}
	return score
}

// Explore returns a permit for a replica that was not used for ExploreIntervalMillis,
// so that its outdated latency is measured again. With Policy.EstimateCapacity the replica is one
// that only its old estimate may keep from being selected. It returns nil if there is none.
func (f *Fleet) Explore(want Want) *Permit {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.services[want.Service]
	if !ok || len(s.waiters) > 0 {
		return nil
	}
	now := f.clock.Now()
	for _, r := range f.eligible(s, want) {
		if f.exploreDue(s, r, now) && !r.down && !r.ejected(now) && r.hasCapacity(false, now) && r.admits(now) {
			if r.estimate != nil {
				r.estimate.exploredAt = now
			}
			return f.grantPermit(r, want, now)
		}
	}
	return nil
}

// exploreDue reports whether the latency of a replica should be measured again.
func (f *Fleet) exploreDue(s *service, r *replica, now Millis) bool {
	if f.EstimatesCapacity() {
		return f.exploreEstimate(s, r, now)
	}
	return now-r.usedAt > ExploreIntervalMillis
}
