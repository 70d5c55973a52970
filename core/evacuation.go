package core

import (
	"slices"

	"github.com/go-logr/logr"
)

// SetEvacuated sets the evacuated zones, without empty and duplicate names. Afterwards Evacuated is
// not nil.
func (l *InstanceList) SetEvacuated(zones []string) {
	named := NewSet(zones...)
	delete(named, "")
	l.Evacuated = append([]string{}, named.Sorted()...)
}

// keepEvacuated takes over the evacuated zones of an older list if those of this list are unknown.
// The list is then encoded again before it is sent to peers.
func (l *InstanceList) keepEvacuated(older InstanceList) {
	if l.Evacuated == nil && older.Evacuated != nil {
		l.Evacuated = older.Evacuated
		l.Raw = nil
	}
}

// zonesWithoutUpstreams returns the evacuated zones that have no upstreams in the list.
func (l *InstanceList) zonesWithoutUpstreams() []string {
	zones := NewSet(l.Evacuated...)
	for _, m := range l.Members {
		if m.Role == RoleUpstream {
			delete(zones, m.Zone)
		}
	}
	return zones.Sorted()
}

// Evacuation applies the evacuated zones of instance lists to a fleet.
type Evacuation struct {
	fleet    *Fleet
	counters *Counters
	log      logr.Logger
}

// NewEvacuation returns an Evacuation that logs each change.
func NewEvacuation(fleet *Fleet, counters *Counters, log logr.Logger) *Evacuation {
	return &Evacuation{fleet: fleet, counters: counters, log: log}
}

// Apply applies the evacuated zones of a newer list. It must be called before the fleet learns of
// the upstreams in the list.
func (e *Evacuation) Apply(list InstanceList) {
	if list.Evacuated == nil {
		return
	}
	started, ended := e.fleet.SetEvacuated(list.Evacuated)
	if len(started)+len(ended) == 0 {
		return
	}
	e.counters.Add(CountEvacuationChanges, len(started)+len(ended))
	e.log.Info("evacuation changed", "evacuated", list.Evacuated, "started", started, "ended", ended,
		"withoutUpstreams", list.zonesWithoutUpstreams(), "era", list.Revision.Era(), "revision", list.Revision.Number())
}

// SetEvacuated replaces the evacuated zones. Their upstreams get no requests: permits that were
// granted before are no longer sendable, and waiting attempts are granted other upstreams or
// rejected. It returns the zones whose evacuation began and those whose evacuation ended.
func (f *Fleet) SetEvacuated(zones []string) (started, ended []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.evacuated
	f.evacuated = NewSet(zones...)
	started, ended = f.evacuated.minus(before), before.minus(f.evacuated)
	for _, zone := range started {
		// Attempts in flight no longer tell whether the zone is cut off.
		delete(f.zones, zone)
	}
	now := f.clock.Now()
	affected := NewSet[string]()
	for _, r := range f.replicas {
		if evacuated := f.evacuated.Has(r.upstream.Zone); r.evacuated != evacuated {
			r.setEvacuated(evacuated, now)
			affected.Add(r.service)
		}
	}
	for _, name := range affected.Sorted() {
		f.regrant(name)
	}
	if len(ended) > 0 {
		// Upstreams that became unreachable during the evacuation were not probed.
		f.alert()
	}
	return started, ended
}

// EvacuatedZones returns the evacuated zones in ascending order.
func (f *Fleet) EvacuatedZones() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated.Sorted()
}

// setEvacuated sets whether the upstream's zone is evacuated. When the evacuation ends, slow start
// begins, and the upstream is explored only after ExploreIntervalMillis, because all instances
// learn of the end at the same time. The change is not reported to Fleet.onChange, since it
// concerns all upstreams of the zone.
func (r *replica) setEvacuated(evacuated bool, now Millis) {
	r.evacuated = evacuated
	if !evacuated {
		r.restartedAt = now
		r.usedAt = now
	}
	r.reportedInUse = r.routable() && !r.down
}

// AwaitOwnRead makes the store hold back the lists of peers until this instance has tried to read
// the list from the platform itself. The list of a peer that is cut off from the platform may lack
// a zone that has been evacuated for long, and a new instance must not send requests there. It must
// be called before the first list is stored.
func (s *Store) AwaitOwnRead() {
	s.ownReadPending = true
}

// holdList holds back the list of a peer if the own read is pending, and reports whether it did.
func (s *Store) holdList(candidate InstanceList) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ownReadPending {
		return false
	}
	if candidate.Revision > s.heldList.Revision {
		s.heldList = candidate
	}
	return true
}

// knownListRevision returns the revision of the newest list that was received, held back or not.
func (s *Store) knownListRevision() Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return max(s.list.Revision, s.heldList.Revision)
}

// minus returns the values of s that are not in o, in ascending order.
func (s Set[T]) minus(o Set[T]) []T {
	return slices.DeleteFunc(s.Sorted(), o.Has)
}
