package core

import (
	"fmt"
	"slices"
)

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
	// LimitUnreadable means that the reply names a limit that can't be read. The known limit
	// stays in force.
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

// LimitedError means that a request was not sent because all upstreams that could run it are paused or
// at their request limits.
type LimitedError struct {
	// Wait is the time until one of them may accept another request.
	Wait Millis
	// Paused is set if some of them have stated how long they accept no requests.
	Paused bool
}

// Error implements the error interface.
func (e *LimitedError) Error() string {
	if e.Paused {
		return fmt.Sprintf("all upstreams are paused or at their request limits for %d ms", e.Wait)
	}
	return fmt.Sprintf("all upstreams are at their request limits for %d ms", e.Wait)
}

// upstreamLimit is the request limit of one upstream as this instance knows it, with the tokens
// that this instance holds. Each request to a limited upstream uses up a token. The coordinator
// of the upstream's zone grants the tokens to all instances.
type upstreamLimit struct {
	// incarnation is the incarnation of the upstream that the limit belongs to.
	incarnation uint64
	// limited is set while the upstream names a limit, of perSecond requests a second.
	limited   bool
	perSecond float64
	// statedAt is when the upstream last named its limit.
	statedAt Millis
	// stamp orders the facts about the limit. It was learned at stampedAt.
	stamp     uint64
	stampedAt Millis
	// sent counts the attempts since the last change.
	sent int
	// cold is what is known about the coldness of the upstream, during which it also has a limit.
	cold coldState

	// tokens holds the times at which the tokens expire, in ascending order.
	tokens []Millis
	// wanted is how many tokens are to be requested, and requested how many the pending
	// request asks for.
	wanted    int
	requested int
	// blockedUntil is the time before which the coordinator has no further token.
	blockedUntil Millis
	// prefetchAt is the time from which a token may be requested that no request waits for. The
	// use of a token clears it.
	prefetchAt Millis
}

// apply applies a statement of the upstream in a reply to a request sent at sentAt, and reports
// whether it changed the limit. A limit ends with a reply without one, unless the request was
// sent before the limit was last named.
func (l *upstreamLimit) apply(statement LimitStatement, sentAt, now Millis) bool {
	switch statement.Kind {
	case LimitNamed:
		changed := !l.limited || l.perSecond != statement.PerSecond
		l.limited, l.perSecond, l.statedAt = true, statement.PerSecond, now
		return changed
	case LimitNone:
		if !l.limited || sentAt < l.statedAt {
			return false
		}
		l.end()
		return true
	}
	return false
}

// end removes the limit that the upstream has named.
func (l *upstreamLimit) end() {
	l.limited, l.perSecond = false, 0
	l.dropTokens()
}

// dropTokens discards the tokens, and what is known about when there will be others.
func (l *upstreamLimit) dropTokens() {
	l.tokens, l.wanted, l.blockedUntil = nil, 0, 0
}

// resetFor discards what is known about an earlier incarnation.
func (l *upstreamLimit) resetFor(incarnation uint64, now Millis) {
	if incarnation > l.incarnation {
		l.end()
		l.cold.reset(now)
		l.incarnation = incarnation
	}
}

// nextFact returns a fact about the limit that replaces all earlier ones. name is the name of the
// upstream.
func (l *upstreamLimit) nextFact(name string, now Millis) Fact {
	l.stamp++
	l.stampedAt = now
	return Fact{
		Kind: FactUpstreamLimit, Subject: name, Stamp: l.stamp,
		Incarnation: l.incarnation, Limited: l.limited, LimitPerSecond: l.perSecond,
	}
}

// value returns the limit that the upstream names, in requests a second, or nothing if there is none.
func (l *upstreamLimit) value() Option[float64] {
	if !l.limited {
		return None[float64]()
	}
	return Some(l.perSecond)
}

// effective returns the limit in force, in requests a second, or nothing if there is none. It is the
// lower one if the upstream is cold and also names a limit.
func (l *upstreamLimit) effective(now Millis) Option[float64] {
	switch {
	case !l.cold.active(now):
		return l.value()
	case l.limited:
		return Some(min(l.perSecond, l.cold.perSecond))
	}
	return Some(l.cold.perSecond)
}

// needsToken reports whether a request to the upstream uses up a token.
func (l *upstreamLimit) needsToken(now Millis) bool {
	return l.limited || l.cold.active(now)
}

// admits reports whether a request may be sent now.
func (l *upstreamLimit) admits(now Millis) bool {
	return !l.needsToken(now) || (len(l.tokens) > 0 && l.tokens[len(l.tokens)-1] > now)
}

// use uses up the token that expires first, and returns when it expires. It returns zero if no token
// is needed. admits must have returned true.
func (l *upstreamLimit) use(now Millis) Millis {
	l.sent++
	if !l.needsToken(now) {
		return 0
	}
	l.tokens = slices.DeleteFunc(l.tokens, func(expires Millis) bool { return expires <= now })
	expires := l.tokens[0]
	l.tokens = l.tokens[1:]
	l.prefetchAt = 0
	return expires
}

// pending returns how many tokens are to be requested or have been.
func (l *upstreamLimit) pending() int {
	return l.wanted + l.requested
}

// OnLimitChange registers a function that is called with each change of a request limit. The
// lock of the Fleet is held during the call, so the function must not call the Fleet.
func (f *Fleet) OnLimitChange(report func(LimitChange)) {
	f.onLimitChange = report
}

// limitOf returns the request limit of the upstream with the name. f.mu must be held.
func (f *Fleet) limitOf(name string) *upstreamLimit {
	limit, ok := f.limits[name]
	if !ok {
		limit = &upstreamLimit{}
		f.limits[name] = limit
	}
	return limit
}

// retainLimits forgets the limits of unknown upstreams that no fact has named for FactTTLMillis.
// f.mu must be held.
func (f *Fleet) retainLimits() {
	now := f.clock.Now()
	for name, limit := range f.limits {
		if _, known := f.replicas[name]; !known && now-max(limit.stampedAt, limit.cold.statedAt) > FactTTLMillis {
			delete(f.limits, name)
		}
	}
}

// recordLimit applies the statement of a reply to a request sent at sentAt, and notifies the other
// instances if they need to know.
func (f *Fleet) recordLimit(r *replica, statement LimitStatement, sentAt Millis) {
	f.mu.Lock()
	fact, publish := f.applyStatement(r, statement, sentAt).Get()
	f.mu.Unlock()
	if publish {
		f.notify(fact)
	}
}

// applyStatement applies the statement of a reply to a request sent at sentAt. It returns a fact to
// publish if the limit changed, or if the last fact about it is to be repeated before it expires.
// f.mu must be held.
func (f *Fleet) applyStatement(r *replica, statement LimitStatement, sentAt Millis) Option[Fact] {
	now := f.clock.Now()
	limit := r.requestLimit
	changed := limit.apply(statement, sentAt, now)
	if changed {
		f.reportLimit(r, sourceUpstream)
		f.regrant(r.service)
	}
	if !changed && (!limit.limited || now-limit.stampedAt < FactTTLMillis/2) {
		return None[Fact]()
	}
	return Some(limit.nextFact(r.upstream.Name, now))
}

// ApplyLimit applies a fact about the request limit of an upstream, which may be unknown yet.
func (f *Fleet) ApplyLimit(fact Fact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.limitOf(fact.Subject)
	if fact.Stamp <= limit.stamp {
		return
	}
	now := f.clock.Now()
	limit.stamp, limit.stampedAt = fact.Stamp, now-fact.Age
	if fact.Incarnation < limit.incarnation {
		return
	}
	limit.resetFor(fact.Incarnation, now)
	statement := LimitStatement{Kind: LimitNone}
	if fact.Limited {
		statement = LimitStatement{Kind: LimitNamed, PerSecond: fact.LimitPerSecond}
	}
	if r, ok := f.replicas[fact.Subject]; limit.apply(statement, now, now) && ok {
		f.reportLimit(r, "peer")
		f.regrant(r.service)
	}
}

// regrant gives permits to the waiters of a service. f.mu must be held.
func (f *Fleet) regrant(name string) {
	if s, ok := f.services[name]; ok {
		f.grant(s)
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
