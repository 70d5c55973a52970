package core

import (
	"cmp"
	"slices"
)

// ReplicaState is the state of one upstream, for the state dump.
type ReplicaState struct {
	Name            string
	Service         string
	Address         string
	Zone            string
	Incarnation     uint64
	Phase           Phase
	LeavingSource   string
	LeavingSince    Millis
	Snapshots       map[string][]uint64
	InFlight        int
	Limit           float64
	ConnectionShare int
	LatencyMillis   float64
	ReportedLoad    float64
	// Estimate is the capacity estimate, if estimates are used.
	Estimate Option[EstimateState]
	// RequestLimit is the limit that the upstream names for all instances, in requests a second,
	// and Tokens is how many requests this instance may send now.
	RequestLimit Option[float64]
	Tokens       int
	// Evacuated is set while the upstream's zone is evacuated.
	Evacuated bool
	// ColdLimit is the limit while the upstream is cold, in requests a second, and ColdRemaining the
	// time until that ends, or zero if the end is not known.
	ColdLimit     Option[float64]
	ColdRemaining Millis
	// PausedFor is how much longer the upstream accepts no requests of this instance.
	PausedFor    Millis
	HeardAt      Millis
	EjectedUntil Millis
}

// EstimateState is the capacity estimate of one upstream, for the state dump.
type EstimateState struct {
	// LatencyMillis is the latency to expect of one more request.
	LatencyMillis float64
	// RisesAt is the number of requests at which latency begins to rise, and Slope is how much
	// each further request per slot adds to it, as a multiple of the latency below.
	RisesAt float64
	Slope   float64
	// Speed is the latency without load as a multiple of what is usual at the service.
	Speed float64
	// Load is the number of requests, running and waiting, to expect now.
	Load float64
	// Slowdown is the expected slowdown of the machine, 1 if it is not reported.
	Slowdown float64
	// Replies is the number of replies that Speed is based on.
	Replies int
}

// State returns the state of all upstreams, sorted by name.
func (f *Fleet) State() []ReplicaState {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := make([]ReplicaState, 0, len(f.replicas))
	for _, r := range f.replicas {
		state := r.state(f.clock.Now())
		if s, ok := f.services[r.service]; ok && r.estimate != nil {
			state.Estimate = Some(r.estimate.state(&s.usual, r.inFlight, f.clock.Now()))
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b ReplicaState) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

func (r *replica) state(now Millis) ReplicaState {
	snapshots := make(map[string][]uint64, len(r.snapshots))
	for collection, ids := range r.snapshots {
		snapshots[collection] = ids.Sorted()
	}
	return ReplicaState{
		Name:            r.upstream.Name,
		Service:         r.service,
		Address:         r.upstream.Address,
		Zone:            r.upstream.Zone,
		Incarnation:     r.incarnation,
		Phase:           r.phase,
		LeavingSource:   r.leavingSource,
		LeavingSince:    r.leavingSince,
		Snapshots:       snapshots,
		InFlight:        r.inFlight,
		Limit:           r.limit,
		ConnectionShare: r.share,
		LatencyMillis:   r.latency,
		ReportedLoad:    r.load,
		RequestLimit:    r.requestLimit.value(),
		Tokens:          len(r.requestLimit.tokens),
		Evacuated:       r.evacuated,
		ColdLimit:       r.requestLimit.cold.limit(now),
		ColdRemaining:   r.requestLimit.cold.remaining(now),
		PausedFor:       max(0, r.marks.pausedUntil-now),
		HeardAt:         r.heardAt,
		EjectedUntil:    r.ejectedUntil,
	}
}
