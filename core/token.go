package core

import (
	"cmp"
	"context"
	"slices"
)

// TokenWant asks for tokens for one upstream.
type TokenWant struct {
	Upstream string
	// PerSecond is the upstream's request limit as the sender knows it.
	PerSecond float64
	Count     int
}

// TokenRequest asks an instance for tokens for upstreams of one availability zone. Each token
// allows one request to an upstream that has a request limit.
type TokenRequest struct {
	Zone string
	// Unreachable holds the addresses of instances that the sender could not reach. The receiver
	// acts as coordinator if only these would be preferred to it.
	Unreachable []string
	Wants       []TokenWant
}

// TokenGrant is the reply to a TokenWant.
type TokenGrant struct {
	Upstream string
	// Count is the number of tokens granted. They expire after TokenTTLMillis.
	Count int
	// Wait is the time until there will be another token.
	Wait Millis
}

// TokenReply is the reply to a TokenRequest.
type TokenReply struct {
	// Redirect is the address of the coordinator if the receiver is not the coordinator itself.
	// There are no grants then.
	Redirect string
	Grants   []TokenGrant
}

// TokenClient requests tokens from other instances.
type TokenClient interface {
	TakeTokens(ctx context.Context, address string, request TokenRequest) (TokenReply, error)
}

// TokenSignals returns a channel that signals when tokens are to be requested.
func (f *Fleet) TokenSignals() <-chan struct{} {
	return f.tokenSignals
}

// signalTokens signals on tokenSignals. It does not block: a pending signal is enough.
func (f *Fleet) signalTokens() {
	select {
	case f.tokenSignals <- struct{}{}:
	default:
	}
}

// withinLimits returns the candidates that are not paused and may be sent a request without exceeding a
// request limit. If one that may not is preferred to them, or if there are none and the request can't wait,
// a token is requested for later requests. f.mu must be held.
func (f *Fleet) withinLimits(s *service, candidates []*replica, want Want, now Millis) []*replica {
	admits := func(r *replica) bool { return r.admits(now) }
	if !slices.ContainsFunc(candidates, func(r *replica) bool { return !admits(r) }) {
		return candidates
	}
	allowed := slices.DeleteFunc(slices.Clone(candidates), func(r *replica) bool { return !admits(r) })
	if len(allowed) == 0 && !want.NoWait {
		f.wantTokens(s, candidates, want, now)
	} else {
		f.prefetchToken(f.best(s, candidates, want, now), now)
	}
	return allowed
}

// wantTokens requests as many tokens as requests wait for one, from the best replicas that are not
// blocked.
func (f *Fleet) wantTokens(s *service, limited []*replica, want Want, now Millis) {
	pending := 0
	var open []*replica
	for _, r := range limited {
		pending += r.requestLimit.pending()
		if now >= r.requestLimit.blockedUntil && !r.marks.paused(now) {
			open = append(open, r)
		}
	}
	if len(open) == 0 || pending > len(s.waiters) {
		return
	}
	next := slices.MinFunc(open, func(a, b *replica) int {
		return cmp.Or(
			cmp.Compare(a.requestLimit.pending(), b.requestLimit.pending()),
			cmp.Compare(f.scoreOf(s, a, want, now), f.scoreOf(s, b, want, now)))
	})
	f.wantToken(next)
}

// wantToken requests a token for a replica. f.mu must be held.
func (f *Fleet) wantToken(r *replica) {
	r.requestLimit.wanted++
	f.wanting.Add(r.upstream.Name)
	f.signalTokens()
}

// prefetchToken requests a token for a replica that is at its limit while others have room.
func (f *Fleet) prefetchToken(r *replica, now Millis) {
	limit := r.requestLimit
	if r.marks.paused(now) || limit.admits(now) || limit.pending() > 0 || now < max(limit.blockedUntil, limit.prefetchAt) {
		return
	}
	limit.prefetchAt = now + jitter(TokenPrefetchMillis)
	f.wantToken(r)
}

// limitWait returns how long it takes until one of the candidates may be sent a request, if all of
// them are paused, or at their limits and no request for a token is pending. f.mu must be held.
func (f *Fleet) limitWait(candidates []*replica, now Millis) Option[Millis] {
	wait := Millis(-1)
	for _, r := range candidates {
		blocked, ok := r.blockedFor(now).Get()
		if !ok {
			return None[Millis]()
		}
		if wait < 0 || blocked < wait {
			wait = blocked
		}
	}
	if wait < 0 {
		return None[Millis]()
	}
	return Some(wait)
}

// limitedError returns a *LimitedError if the request can't be sent before want.WaitUntil because of
// pauses or request limits, and nil otherwise. f.mu must be held.
func (f *Fleet) limitedError(s *service, want Want) error {
	now := f.clock.Now()
	candidates := f.usable(s, want, now)
	wait, blocked := f.limitWait(candidates, now).Get()
	if !blocked || want.WaitUntil == 0 || now+wait < want.WaitUntil {
		return nil
	}
	return &LimitedError{Wait: wait, Paused: anyPaused(candidates, now)}
}

// TakeTokenWants returns the tokens to request, by zone of the upstreams, for the zones that match.
func (f *Fleet) TakeTokenWants(match func(zone string) bool) map[string][]TokenWant {
	f.mu.Lock()
	defer f.mu.Unlock()
	wants := map[string][]TokenWant{}
	for name := range f.wanting {
		r, known := f.replicas[name]
		if !known || r.requestLimit.wanted == 0 {
			delete(f.wanting, name)
			continue
		}
		limit := r.requestLimit
		if limit.requested > 0 || !match(r.upstream.Zone) {
			continue
		}
		delete(f.wanting, name)
		limit.requested, limit.wanted = min(limit.wanted, MaxTokensPerRequest), 0
		wants[r.upstream.Zone] = append(wants[r.upstream.Zone],
			TokenWant{Upstream: name, PerSecond: limit.effective(f.clock.Now()).Or(0), Count: limit.requested})
	}
	return wants
}

// AddTokens ends the requests for tokens that wants describes, and adds the granted tokens. They
// expire TokenTTLMillis after sentAt, when they were requested.
func (f *Fleet) AddTokens(wants []TokenWant, grants []TokenGrant, sentAt Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, want := range wants {
		grant, answered := find(grants, func(g TokenGrant) bool { return g.Upstream == want.Upstream })
		if !answered {
			grant = TokenGrant{Wait: TokenRetryMillis}
		}
		f.addGrant(want, grant, sentAt)
	}
	for _, service := range f.servicesOf(wants) {
		f.regrant(service)
	}
}

// addGrant adds the tokens granted for one upstream. If there are fewer than wanted, the upstream is
// blocked until there is another one. f.mu must be held.
func (f *Fleet) addGrant(want TokenWant, grant TokenGrant, sentAt Millis) {
	limit, now := f.limitOf(want.Upstream), f.clock.Now()
	limit.requested = 0
	perSecond, limited := limit.effective(now).Get()
	if !limited {
		return
	}
	ttl := TokenTTLMillis
	if limit.cold.active(now) {
		ttl = ColdTokenTTLMillis
		if want.PerSecond > perSecond {
			// The tokens were granted by a rate from before the upstream turned cold.
			grant.Count = 0
		}
	}
	for range min(grant.Count, want.Count) {
		limit.tokens = append(limit.tokens, sentAt+ttl)
	}
	if grant.Count < want.Count {
		limit.blockedUntil = now + max(1, grant.Wait)
		f.retryWhenOpen(want.Upstream, grant.Wait)
	}
}

// retryWhenOpen gives permits to the waiters of an upstream's service after the wait. f.mu must be
// held.
func (f *Fleet) retryWhenOpen(name string, wait Millis) {
	r, ok := f.replicas[name]
	if !ok {
		return
	}
	service := r.service
	f.clock.AfterFunc(max(1, wait), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.regrant(service)
	})
}

// servicesOf returns the services of the upstreams that tokens were requested for. f.mu must be held.
func (f *Fleet) servicesOf(wants []TokenWant) []string {
	services := NewSet[string]()
	for _, want := range wants {
		if r, ok := f.replicas[want.Upstream]; ok {
			services.Add(r.service)
		}
	}
	return services.Sorted()
}

// RequestLimit returns the request limit of an upstream, or nothing if none is known.
func (f *Fleet) RequestLimit(name string) Option[float64] {
	f.mu.Lock()
	defer f.mu.Unlock()
	if limit, ok := f.limits[name]; ok {
		return limit.value()
	}
	return None[float64]()
}

// AdmitProbe reports whether a probe may be sent to the upstream: not during a pause, nor while its
// zone is evacuated. A probe of an upstream with a request limit uses up a token. If there is none,
// one is requested for the next probe.
func (f *Fleet) AdmitProbe(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[name]
	if !ok {
		return true
	}
	if r.evacuated {
		return false
	}
	now := f.clock.Now()
	if !r.admits(now) {
		f.prefetchToken(r, now)
		return false
	}
	r.requestLimit.use(now)
	return true
}
