package core

// zoneHealth tracks whether the upstreams of one zone can be reached.
type zoneHealth struct {
	// heardAt is the time of the last reply from the zone.
	heardAt Millis
	// lateAttempts counts the attempts without a timely reply since the last reply from
	// the zone. The first of them was sent at lateSince.
	lateAttempts int
	lateSince    Millis
}

// zoneOf returns the health of a replica's zone. f.mu must be held.
func (f *Fleet) zoneOf(r *replica) *zoneHealth {
	zone, ok := f.zones[r.upstream.Zone]
	if !ok {
		zone = &zoneHealth{}
		f.zones[r.upstream.Zone] = zone
	}
	return zone
}

// recordReply records that a replica replied. f.mu must be held.
func (f *Fleet) recordReply(r *replica, now Millis) {
	r.recordReply(now)
	f.reportChange(r, "reply")
	zone := f.zoneOf(r)
	zone.heardAt, zone.lateAttempts = now, 0
}

// recordLate records that an attempt sent at since is late. Attempts in an evacuated zone don't
// count, because no later reply would clear them. f.mu must be held.
func (f *Fleet) recordLate(r *replica, since Millis) {
	if r.evacuated {
		return
	}
	zone := f.zoneOf(r)
	if zone.heardAt >= since {
		return
	}
	if zone.lateAttempts == 0 {
		zone.lateSince = since
		f.alert()
	}
	zone.lateAttempts++
}

// CheckZones detects zones that are cut off: at least ZoneSilentAttempts attempts are
// late, and no reply has come from the zone for ZoneSilentMillis after the first of
// them was sent. The upstreams of such a zone get no requests until a probe reaches
// them.
func (f *Fleet) CheckZones() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for name, zone := range f.zones {
		if zone.lateAttempts < ZoneSilentAttempts || now-zone.lateSince < ZoneSilentMillis {
			continue
		}
		zone.lateAttempts = 0
		for _, r := range f.replicas {
			if r.upstream.Zone == name && r.recordSilence(now) {
				f.alert()
				f.reportChange(r, "zone silent")
			}
		}
	}
}
