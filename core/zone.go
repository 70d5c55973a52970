package core

// zoneView is what is known of the way to one zone.
type zoneView struct {
	heardAt Millis
	// late counts the attempts that were late since the zone was last heard, and
	// lateSince is when the first of them was sent.
	late      int
	lateSince Millis
}

// zoneOf returns the view of a replica's zone. The caller holds the lock.
func (f *Fleet) zoneOf(r *replica) *zoneView {
	zone, ok := f.zones[r.upstream.Zone]
	if !ok {
		zone = &zoneView{}
		f.zones[r.upstream.Zone] = zone
	}
	return zone
}

// heard records that a replica replied. The caller holds the lock.
func (f *Fleet) heard(r *replica, now Millis) {
	r.heard(now)
	f.changed(r, "reply")
	zone := f.zoneOf(r)
	zone.heardAt, zone.late = now, 0
}

// late records that an attempt is late. The caller holds the lock.
func (f *Fleet) late(r *replica, since Millis) {
	zone := f.zoneOf(r)
	if zone.heardAt >= since {
		return
	}
	if zone.late == 0 {
		zone.lateSince = since
		f.alert()
	}
	zone.late++
}

// CheckZones looks for zones that are cut off: many attempts are late, and nothing
// was heard from there since the first of them was sent. Their upstreams get no
// requests until a probe reaches them.
func (f *Fleet) CheckZones() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for name, zone := range f.zones {
		if zone.late < ZoneSilentAttempts || now-zone.lateSince < ZoneSilentMillis {
			continue
		}
		zone.late = 0
		for _, r := range f.replicas {
			if r.upstream.Zone == name && r.silent(now) {
				f.alert()
				f.changed(r, "zone silent")
			}
		}
	}
}
