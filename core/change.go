package core

// UpstreamChange says that an upstream went in or out of use.
type UpstreamChange struct {
	Name        string
	Service     string
	Zone        string
	Incarnation uint64
	InUse       bool
	// Cause is what made the difference.
	Cause string
	// HeardAt is when the upstream was last heard.
	HeardAt Millis
}

// OnChange registers a function that is called with each change. It must not call
// the fleet.
func (f *Fleet) OnChange(report func(UpstreamChange)) {
	f.onChange = report
}

// changed reports whether the replica is in use, if that differs from the last
// report. The caller holds the lock.
func (f *Fleet) changed(r *replica, cause string) {
	inUse := r.routable() && !r.down
	if f.onChange == nil || inUse == r.reported {
		return
	}
	r.reported = inUse
	f.onChange(UpstreamChange{
		Name: r.upstream.Name, Service: r.service, Zone: r.upstream.Zone, Incarnation: r.incarnation,
		InUse: inUse, Cause: cause, HeardAt: r.heardAt,
	})
}
