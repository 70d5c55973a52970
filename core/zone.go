package core

// zoneHealth is what is known of the way to one zone.
type zoneHealth struct {
	heardAt Millis
	// lateAttempts counts the attempts that were lateAttempts since the zone was last heard, and
	// lateSince is when the first of them was sent.
	lateAttempts      int
	lateSince Millis
}

// zoneOf returns the view of a replica's zone. The caller holds the lock.
func (f *Fleet) zoneOf(r *replica) *zoneHealth {
	zone, ok := f.zones[r.upstream.Zone]
	if !ok {
		zone = &zoneHealth{}
		f.zones[r.upstream.Zone] = zone
	}
	return zone
}

// recordReply records that a replica replied. The caller holds the lock.
func (f *Fleet) recordReply(r *replica, now Millis) {
	r.recordReply(now)
	f.changed(r, "reply")
	zone := f.zoneOf(r)
	zone.heardAt, zone.lateAttempts = now, 0
}

// recordLate records that an attempt is recordLate. The caller holds the lock.
func (f *Fleet) recordLate(r *replica, since Millis) {
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

// CheckZones looks for zones that are cut off: many attempts are late, and nothing
// was heard from there since the first of them was sent. Their upstreams get no
// requests until a probe reaches them.
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
				f.changed(r, "zone silent")
			}
		}
	}
}
