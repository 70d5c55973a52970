package core

// LimitKind says what a reply states about the request limit of its upstream.
type LimitKind int

// The kinds of statements about a request limit.
const (
	// LimitUnstated means that the reply says nothing about a limit.
	LimitUnstated LimitKind = iota
	// LimitNone means that the upstream has no limit.
	LimitNone
	// LimitNamed means that the upstream has a limit.
	LimitNamed
	// LimitUnreadable means that the reply names a limit that can't be read.
	LimitUnreadable
)

// LimitStatement is what one reply states about the request limit of its upstream.
type LimitStatement struct {
	Kind LimitKind
	// PerSecond is the number of requests a second that the upstream accepts from all
	// instances together. It is set only for LimitNamed.
	PerSecond float64
}

// LimitChange describes a change of an upstream's request limit.
type LimitChange struct {
	Name    string
	Service string
	// Limit is the limit that is now in force, in requests a second, or nothing if it ended.
	Limit Option[float64]
	// Source is where the limit was learned from.
	Source string
	// Sent is how many attempts this instance has sent to the upstream since the last change.
	Sent int
}

// upstreamLimit is the request limit of one upstream as this instance knows it.
type upstreamLimit struct {
	// limited is set while the upstream names a limit, of perSecond requests a second.
	limited   bool
	perSecond float64
	// statedAt is when the upstream last named its limit.
	statedAt Millis
	// sent counts the attempts since the last change.
	sent int
}

// OnLimitChange registers a function that is called with each change of a request limit. The
// lock of the Fleet is held during the call, so the function must not call the Fleet.
func (f *Fleet) OnLimitChange(report func(LimitChange)) {
	f.onLimitChange = report
}

// state applies a statement of the upstream in a reply to a request sent at sentAt, and reports
// whether it changed the limit. A limit ends with a reply without one, unless the request was
// sent before the limit was last named.
func (l *upstreamLimit) state(statement LimitStatement, sentAt, now Millis) bool {
	switch statement.Kind {
	case LimitNamed:
		changed := !l.limited || l.perSecond != statement.PerSecond
		l.limited, l.perSecond, l.statedAt = true, statement.PerSecond, now
		return changed
	case LimitNone:
		if !l.limited || sentAt < l.statedAt {
			return false
		}
		l.limited, l.perSecond = false, 0
		return true
	}
	return false
}

// recordLimit applies the statement of a reply to a request sent at sentAt. f.mu must be held.
func (f *Fleet) recordLimit(r *replica, statement LimitStatement, sentAt Millis) {
	if r.requestLimit.state(statement, sentAt, f.clock.Now()) {
		f.reportLimit(r, sourceUpstream)
	}
}

// reportLimit calls the OnLimitChange function. f.mu must be held.
func (f *Fleet) reportLimit(r *replica, source string) {
	if f.onLimitChange != nil {
		f.onLimitChange(LimitChange{
			Name: r.upstream.Name, Service: r.service, Limit: r.requestLimit.value(), Source: source, Sent: r.requestLimit.sent,
		})
	}
	r.requestLimit.sent = 0
}

// value returns the limit in requests a second, or nothing if there is none.
func (l *upstreamLimit) value() Option[float64] {
	if !l.limited {
		return None[float64]()
	}
	return Some(l.perSecond)
}
