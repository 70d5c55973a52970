package core

import (
	"cmp"
	"slices"
	"sync"
)

// UnlistedGraceMillis is how long an upstream that is missing from the instance
// list may still be used if its service has no other. Entries that expired during
// an outage of the platform's key-value store return within two seconds. An upstream
// that has left must get no requests after its drain time, which is longer than this.
const UnlistedGraceMillis = 2 * Second

// RewoundGraceMillis is the same for an upstream that is missing since the platform's store came back from
// an older copy, which lacks the latest entries. Their owners write them again within about two seconds.
const RewoundGraceMillis = 3 * Second

// Roster holds the upstreams of the instance list. An upstream that is missing from
// a newer list is kept for its grace time and marked as unlisted.
type Roster struct {
	clock Clock

	mu      sync.Mutex
	entries map[string]rosterEntry
	// era is that of the newest list.
	era uint64
	// coldNews names the upstreams whose entries state something new about their coldness.
	coldNews Set[string]
}

type rosterEntry struct {
	member Member
	// missingSince is set while the upstream is missing from the list, and grace is how long it is kept
	// then.
	missingSince Option[Millis]
	grace        Millis
}

// NewRoster returns an empty roster.
func NewRoster(clock Clock) *Roster {
	return &Roster{clock: clock, entries: map[string]rosterEntry{}, coldNews: NewSet[string]()}
}

// Update applies a newer list. It returns the names of the upstreams that are new or
// have a new incarnation, and of those that are newly missing.
func (r *Roster) Update(list InstanceList) (appeared, missing []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	grace := UnlistedGraceMillis
	if list.Revision.Era() != r.era {
		grace = RewoundGraceMillis
	}
	r.era = list.Revision.Era()
	listed := NewSet[string]()
	for _, m := range list.Members {
		if m.Role != RoleUpstream {
			continue
		}
		listed.Add(m.Name)
		known, ok := r.entries[m.Name]
		if !ok || known.member.Incarnation != m.Incarnation {
			appeared = append(appeared, m.Name)
			r.coldNews.Add(m.Name)
		}
		if known.member.SlowStartRemaining != m.SlowStartRemaining {
			r.coldNews.Add(m.Name)
		}
		r.entries[m.Name] = rosterEntry{member: m}
	}
	for name, entry := range r.entries {
		if _, unlisted := entry.missingSince.Get(); !unlisted && !listed.Has(name) {
			entry.missingSince, entry.grace = Some(now), grace
			r.entries[name] = entry
			missing = append(missing, name)
		}
	}
	return appeared, missing
}

// Expire removes the upstreams that have been missing for more than their grace time. It returns whether there were any.
func (r *Roster) Expire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := false
	for name, entry := range r.entries {
		if since, unlisted := entry.missingSince.Get(); unlisted && r.clock.Since(since) > entry.grace {
			delete(r.entries, name)
			expired = true
		}
	}
	return expired
}

// TakeColdNews returns the upstreams whose entries state something new about their coldness since the
// last call. An entry that the list repeats unchanged is as old as when it was first seen.
func (r *Roster) TakeColdNews() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []Member
	for _, name := range r.coldNews.Sorted() {
		if entry, ok := r.entries[name]; ok {
			news = append(news, entry.member)
		}
	}
	clear(r.coldNews)
	return news
}

// HasMissing reports whether the roster holds upstreams that are missing from the list.
func (r *Roster) HasMissing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.entries {
		if _, unlisted := entry.missingSince.Get(); unlisted {
			return true
		}
	}
	return false
}

// Services returns the services of a configuration with the upstreams of the roster
// added. The slots of a service are at least those of each of these upstreams.
func (r *Roster) Services(configuration Configuration) []Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	byService := map[string][]rosterEntry{}
	for _, entry := range r.entries {
		byService[entry.member.Service] = append(byService[entry.member.Service], entry)
	}
	services := slices.Clone(configuration.Services)
	for i, service := range services {
		entries := byService[service.Name]
		slices.SortFunc(entries, func(a, b rosterEntry) int { return cmp.Compare(a.member.Name, b.member.Name) })
		upstreams := slices.Clone(service.Upstreams)
		for _, entry := range entries {
			_, unlisted := entry.missingSince.Get()
			services[i].Slots = max(services[i].Slots, entry.member.Slots)
			upstreams = append(upstreams, Upstream{
				Name:     entry.member.Name,
				Address:  entry.member.Address,
				Zone:     entry.member.Zone,
				Unlisted: unlisted,
			})
		}
		services[i].Upstreams = upstreams
	}
	return services
}

// Members returns the upstreams in the newest list.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []Member
	for _, entry := range r.entries {
		if _, unlisted := entry.missingSince.Get(); !unlisted {
			members = append(members, entry.member)
		}
	}
	return members
}
