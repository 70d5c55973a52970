package core

import "math"

// ColdBound is the users' bound on the requests to a cold upstream. In any one second, all instances
// together may send it Overage times Service.ColdPerSecond plus Slack requests.
type ColdBound struct {
	Overage float64
	Slack   float64
}

// requests returns how many requests a cold upstream may get in any second.
func (b ColdBound) requests(coldPerSecond float64) float64 {
	return b.Overage*coldPerSecond + b.Slack
}

// bucket returns the rate and the size of the token bucket of a coordinator that may grant the
// share, from 0 to 1, of the tokens for a cold upstream. limit is the upstream's request limit,
// which is lower than coldPerSecond if it also names one. The size is zero if the share is not
// worth a request.
//
// A second at the upstream uses tokens that were granted within it or at most ColdTokenTTLMillis
// before. The bucket grants no more than the share of the bound in any span of that length.
func (b ColdBound) bucket(coldPerSecond, limit, share float64) (rate, size float64) {
	const (
		span = float64(Second+ColdTokenTTLMillis) / float64(Second)
		// margin keeps the number of tokens below the next whole one.
		margin = 0.01
	)
	allowed := math.Floor(ColdPrimaryShare*share*b.requests(coldPerSecond)) + 1 - margin
	if allowed < 1 {
		return 0, 0
	}
	rate = min(max(share*limit, MinTokenRate), (allowed-1)/span)
	size = 1 + rate*float64(ColdBurstMillis)/float64(Second)
	return rate, min(size, allowed-rate*span)
}

// ColdKind says what a response or an entry states about the coldness of an upstream.
type ColdKind int

// The kinds of statements about coldness.
const (
	// ColdUnstated means that nothing is stated.
	ColdUnstated ColdKind = iota
	// ColdStated means that the remaining time is stated. It is zero for a warm upstream.
	ColdStated
)

// ColdStatement is what a response or an entry states about the coldness of an upstream.
type ColdStatement struct {
	Kind      ColdKind
	Remaining Millis
}

// ColdChange describes that this instance begins or ceases to treat an upstream as cold.
type ColdChange struct {
	Name    string
	Service string
	// PerSecond is the limit on the requests to the upstream, or nothing if it is no longer cold.
	PerSecond Option[float64]
	// Remaining is the time until the end, or zero if it is not known.
	Remaining Millis
	Source    string
}

// coldSource is where a statement comes from. It decides whether the statement can shorten a cold
// period.
type coldSource int

const (
	// coldFromList may be older than what a response has stated.
	coldFromList coldSource = iota
	// coldFromPeer never shortens a cold period.
	coldFromPeer
	coldFromUpstream
)

// String returns the name of the source in log lines.
func (s coldSource) String() string {
	return [...]string{"instance list", "peer", sourceUpstream}[s]
}

// coldState is what this instance knows about the coldness of one incarnation of an upstream.
type coldState struct {
	// perSecond is the request limit while the upstream is cold, or zero if no bound is in force.
	perSecond float64
	// start is how long the upstream is cold after its start, and since when it was first seen.
	start Millis
	since Millis
	// known is set once there was a statement about this incarnation. The upstream is cold until
	// the time until.
	known bool
	until Millis
	// listOnly is set while only the list has made statements. statedAt is when the last one was
	// learned.
	listOnly bool
	statedAt Millis
	// stamp is the stamp of the newest fact, which tells the end publishedUntil.
	stamp          uint64
	publishedUntil Millis
	// reported is whether the upstream was last reported as cold, and timedUntil the time of the
	// last timer that was set for the end.
	reported   bool
	timedUntil Millis
}

// configure sets what the configuration says about the service of the upstream.
func (c *coldState) configure(perSecond float64, start, now Millis) {
	if c.perSecond == 0 && perSecond > 0 && !c.known {
		c.since = now
	}
	c.perSecond, c.start = perSecond, start
}

// reset discards what was known about an earlier incarnation.
func (c *coldState) reset(now Millis) {
	c.since, c.known, c.until, c.listOnly, c.statedAt, c.publishedUntil = now, false, 0, false, 0, 0
}

// end returns when the cold period ends or has ended. It is zero if there was none.
func (c *coldState) end() Millis {
	switch {
	case c.perSecond == 0:
		return 0
	case c.known:
		return c.until
	case c.start > 0:
		return c.since + c.start
	}
	return math.MaxInt64
}

// active reports whether the upstream is cold. One about which nothing is known is taken for cold,
// because an upstream that is wrongly taken for warm crashes.
func (c *coldState) active(now Millis) bool {
	return now < c.end()
}

// remaining returns the time until the end of the cold period, or zero if the end is not known.
func (c *coldState) remaining(now Millis) Millis {
	if end := c.end(); end < math.MaxInt64 {
		return max(0, end-now)
	}
	return 0
}

// limit returns the request limit while the upstream is cold, or nothing if it is not.
func (c *coldState) limit(now Millis) Option[float64] {
	if !c.active(now) {
		return None[float64]()
	}
	return Some(c.perSecond)
}

// learn applies the statement that the upstream remains cold for the given time. sentAt is when the
// request was sent that the upstream has responded to.
func (c *coldState) learn(remaining Millis, source coldSource, sentAt, now Millis) {
	until := now + remaining
	if remaining == 0 {
		until = min(now, c.until)
	}
	earlier := c.known && until < c.until
	switch {
	case earlier && source == coldFromPeer,
		earlier && source == coldFromList && !c.listOnly,
		earlier && sentAt < c.statedAt:
		return
	}
	c.listOnly = source == coldFromList && (c.listOnly || !c.known)
	c.known, c.until, c.statedAt = true, until, now
}

// nextFact returns a fact to publish if the cold period ends at least ColdRepublishMillis later than
// the newest fact tells.
func (c *coldState) nextFact(name string, incarnation uint64, now Millis) Option[Fact] {
	if !c.known || !c.active(now) || c.until < c.publishedUntil+ColdRepublishMillis {
		return None[Fact]()
	}
	c.stamp = max(c.stamp+1, uint64((c.until+Second-1)/Second))
	c.publishedUntil = c.until
	return Some(Fact{
		Kind: FactUpstreamCold, Subject: name, Stamp: c.stamp, Incarnation: incarnation, ColdRemaining: c.until - now,
	})
}

// SetColdBound puts the bound on requests to cold upstreams in force. It must be called before Apply.
// Without a bound, no upstream is treated as cold.
func (f *Fleet) SetColdBound(bound ColdBound) {
	f.coldBound = Some(bound)
}

// OnColdChange registers a function that is called when an upstream begins or ceases to be treated
// as cold. The lock of the Fleet is held during the call, so the function must not call the Fleet.
func (f *Fleet) OnColdChange(report func(ColdChange)) {
	f.onColdChange = report
}

// coldLimit returns the limit on requests to each cold upstream of a service, or zero if no bound is
// in force.
func (f *Fleet) coldLimit(spec Service) float64 {
	if _, bound := f.coldBound.Get(); !bound {
		return 0
	}
	return spec.ColdPerSecond
}

// ObserveListedCold applies what a new or changed entry in the instance list states about the
// coldness of an upstream, which may be unknown yet.
func (f *Fleet) ObserveListedCold(member Member) {
	if _, bound := f.coldBound.Get(); !bound {
		return
	}
	if member.SlowStartRemaining < 0 {
		f.reportInvalidSignals(member.Name, []string{"slowStartRemaining"})
		return
	}
	statement := ColdStatement{Kind: ColdStated, Remaining: member.SlowStartRemaining}
	f.recordCold(member.Name, member.Incarnation, statement, coldFromList, f.clock.Now())
}

// ApplyCold applies a fact about the coldness of an upstream, which may be unknown yet.
func (f *Fleet) ApplyCold(fact Fact) {
	f.mu.Lock()
	cold := &f.limitOf(fact.Subject).cold
	cold.stamp = max(cold.stamp, fact.Stamp)
	f.mu.Unlock()
	if fact.ColdRemaining > fact.Age {
		statement := ColdStatement{Kind: ColdStated, Remaining: fact.ColdRemaining - fact.Age}
		f.recordCold(fact.Subject, fact.Incarnation, statement, coldFromPeer, f.clock.Now())
	}
}

// recordCold applies a statement about an incarnation of an upstream, and notifies the other
// instances if they need to know.
func (f *Fleet) recordCold(name string, incarnation uint64, statement ColdStatement, source coldSource, sentAt Millis) {
	if _, bound := f.coldBound.Get(); !bound || statement.Kind != ColdStated {
		return
	}
	f.mu.Lock()
	fact, publish := f.applyCold(name, incarnation, statement, source, sentAt).Get()
	f.mu.Unlock()
	if publish {
		f.notify(fact)
	}
}

// applyCold applies a statement and returns a fact to publish, if any. f.mu must be held.
func (f *Fleet) applyCold(name string, incarnation uint64, statement ColdStatement, source coldSource, sentAt Millis) Option[Fact] {
	now := f.clock.Now()
	limit := f.limitOf(name)
	if incarnation < limit.incarnation {
		return None[Fact]()
	}
	limit.resetFor(incarnation, now)
	limit.cold.learn(statement.Remaining, source, sentAt, now)
	if source == coldFromPeer {
		limit.cold.publishedUntil = max(limit.cold.publishedUntil, limit.cold.until)
	}
	if r, ok := f.replicas[name]; ok {
		f.checkCold(r, source.String())
		f.regrant(r.service)
	}
	return limit.cold.nextFact(name, incarnation, now)
}

// checkCold reports a change of whether the upstream is treated as cold, and makes sure that its end
// is noticed. Tokens from the time before a cold period are dropped. f.mu must be held.
func (f *Fleet) checkCold(r *replica, source string) {
	now := f.clock.Now()
	cold := &r.requestLimit.cold
	active := cold.active(now)
	if active && cold.end() != cold.timedUntil && cold.end() < math.MaxInt64 {
		cold.timedUntil = cold.end()
		f.clock.AfterFunc(cold.end()-now, func() { f.endCold(r.upstream.Name) })
	}
	if active == cold.reported {
		return
	}
	cold.reported = active
	r.requestLimit.dropTokens()
	if f.onColdChange == nil {
		return
	}
	change := ColdChange{
		Name: r.upstream.Name, Service: r.service, PerSecond: cold.limit(now), Remaining: cold.remaining(now), Source: source,
	}
	f.onColdChange(change)
}

// endCold gives permits to the waiters of an upstream's service if its cold period has ended.
func (f *Fleet) endCold(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.replicas[name]; ok {
		f.checkCold(r, "end of the period")
		f.regrant(r.service)
	}
}

// tokenLimit returns the rate for a request for tokens, and the limit for a cold upstream of its
// service if the upstream is to be treated as cold. The sender of the request may already know that
// it is cold, or this instance.
func (f *Fleet) tokenLimit(want TokenWant) (perSecond float64, coldPerSecond Option[float64]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	_, bound := f.coldBound.Get()
	limit, known := f.limits[want.Upstream]
	switch {
	case bound && !known:
		return want.PerSecond, Some(want.PerSecond)
	case bound && limit.cold.perSecond > 0 && (limit.cold.active(now) || want.PerSecond <= limit.cold.perSecond):
		return min(want.PerSecond, limit.effective(now).Or(want.PerSecond)), Some(limit.cold.perSecond)
	case known:
		return limit.value().Or(want.PerSecond), None[float64]()
	}
	return want.PerSecond, None[float64]()
}
