package core

import (
	"cmp"
	"slices"
	"sync"
)

// UnlistedGraceMillis is how long an upstream that is missing from the instance
// list may still be used where its service has no other. Entries that expired
// while the list's service was away come back within two seconds; one that has
// left may be given work for the drain time at most, which is longer.
const UnlistedGraceMillis = 2 * Second

// Roster keeps the upstreams of the instance list. One that is missing from a
// newer list stays for a while as a last resort.
type Roster struct {
	clock Clock

	mu      sync.Mutex
	entries map[string]rosterEntry
}

type rosterEntry struct {
	member       Member
	missingSince Option[Millis]
}

// NewRoster returns an empty roster.
func NewRoster(clock Clock) *Roster {
	return &Roster{clock: clock, entries: map[string]rosterEntry{}}
}

// Update takes in a newer list and returns the upstreams that appeared, and those
// that went missing, by name.
func (r *Roster) Update(list InstanceList) (appeared, missing []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	listed := NewSet[string]()
	for _, m := range list.Members {
		if m.Role != RoleUpstream {
			continue
		}
		listed.Add(m.Name)
		if known, ok := r.entries[m.Name]; !ok || known.member.Incarnation != m.Incarnation {
			appeared = append(appeared, m.Name)
		}
		r.entries[m.Name] = rosterEntry{member: m}
	}
	for name, entry := range r.entries {
		if _, gone := entry.missingSince.Get(); !gone && !listed.Has(name) {
			entry.missingSince = Some(now)
			r.entries[name] = entry
			missing = append(missing, name)
		}
	}
	return appeared, missing
}

// Expire forgets the upstreams whose grace is over and reports whether there
// were any.
func (r *Roster) Expire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	expired := false
	for name, entry := range r.entries {
		if since, gone := entry.missingSince.Get(); gone && r.clock.Since(since) > UnlistedGraceMillis {
			delete(r.entries, name)
			expired = true
		}
	}
	return expired
}

// Missing reports whether the grace of an upstream has begun and is not over.
func (r *Roster) Missing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.entries {
		if _, gone := entry.missingSince.Get(); gone {
			return true
		}
	}
	return false
}

// Services returns the services of a configuration with the upstreams of the
// roster added to them.
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

// Members returns the listed upstreams.
func (r *Roster) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []Member
	for _, entry := range r.entries {
		if _, gone := entry.missingSince.Get(); !gone {
			members = append(members, entry.member)
		}
	}
	return members
}
