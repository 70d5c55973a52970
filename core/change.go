package core

// UpstreamChange describes an upstream that was taken into use or out of use.
type UpstreamChange struct {
	Name        string
	Service     string
	Zone        string
	Incarnation uint64
	InUse       bool
	// Cause describes the event that led to the change.
	Cause string
	// HeardAt is when the last reply or probe response of the upstream was received.
	HeardAt Millis
}

// OnChange registers a function that is called with each change. The lock of the Fleet
// is held during the call, so the function must not call the Fleet.
func (f *Fleet) OnChange(report func(UpstreamChange)) {
	f.onChange = report
}

// reportChange calls the OnChange function if the replica went in or out of use since the
// last call for it. The caller must hold f.mu.
func (f *Fleet) reportChange(r *replica, cause string) {
	inUse := r.routable() && !r.down
	if f.onChange == nil || inUse == r.reportedInUse {
		return
	}
	r.reportedInUse = inUse
	f.onChange(UpstreamChange{
		Name: r.upstream.Name, Service: r.service, Zone: r.upstream.Zone, Incarnation: r.incarnation,
		InUse: inUse, Cause: cause, HeardAt: r.heardAt,
	})
}
