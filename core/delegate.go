package core

import (
	"context"
	"errors"
)

// ErrNotDelivered means that a peer certainly did not get a call.
var ErrNotDelivered = errors.New("call not delivered")

// DelegateClient has other instances answer requests. Its errors wrap ErrNotDelivered
// where the other instance certainly did nothing.
type DelegateClient interface {
	Delegate(ctx context.Context, address string, request DelegatedRequest) (DelegatedAnswer, error)
}

// DelegateChoice says which instances requests are delegated to.
type DelegateChoice interface {
	// Delegates returns them in the order in which they are tried, or none where this
	// instance sends requests to upstreams itself.
	Delegates() []PeerInfo
	DelegateFailed(address string, err error)
	// Relievers returns the other instances that send requests to upstreams and have not
	// refused one of late, in an order drawn anew for each request.
	Relievers() []PeerInfo
	// Busy takes in that an instance refused a request as it was behind.
	Busy(address string)
	// Gatherers returns, by availability zone, the other instances that send requests to
	// upstreams and have not refused one of late.
	Gatherers() map[string][]PeerInfo
	HeardSince(address string, at Millis) bool
	// Responds reports whether an instance was heard after the given time, or answers now
	// that it is asked. It takes ExchangeTimeoutMillis at most.
	Responds(ctx context.Context, address string, at Millis) bool
	// Settling returns when enough will be known of upstreams to send them requests, unless
	// it is.
	Settling() Option[Millis]
}

// routing is one routed request on its way.
type routing struct {
	router   *Router
	request  RoutedRequest
	table    *RouteTable
	route    Route
	deadline Millis
	// delegated is set for a request of another instance.
	delegated bool
}

// delegate has other instances answer the request, one after the other until one of
// them may have run it. renewed is set when a newer configuration was learned from one:
// the request is then to be routed anew.
func (g *routing) delegate(ctx context.Context, delegates []PeerInfo) (answer RoutedAnswer, renewed bool) {
	for _, delegate := range delegates {
		answer, renewed = g.delegateTo(ctx, delegate)
		answer.Delegate = delegate.Name
		if renewed || answer.Outcome != OutcomeNotRun || ctx.Err() != nil || g.router.Clock.Now() >= g.deadline {
			return answer, renewed
		}
		g.router.Log.V(1).Info("delegate refused", "request", g.request.ID, "delegate", delegate.Name,
			"reason", string(answer.Reason), "detail", answer.Detail)
	}
	return answer, false
}

func (g *routing) delegateTo(ctx context.Context, delegate PeerInfo) (RoutedAnswer, bool) {
	reply, err := g.call(ctx, delegate, nil)
	if err == nil && reply.Answer.Reason == ReasonOtherConfiguration && reply.Answer.ConfigurationVersion < g.table.version {
		reply, err = g.call(ctx, delegate, g.router.Store.rawConfiguration(g.table.version))
	}
	switch {
	case errors.Is(err, ErrNotDelivered):
		return refuseRouted(ReasonNoUpstream, RetrySoonMillis, "%s can't be reached: %v", delegate.Name, err), false
	case err != nil && ctx.Err() != nil:
		return RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonTimeout, Detail: "wait for " + delegate.Name}, false
	case err != nil:
		return RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonConnectionLost, Detail: err.Error(), MoveOn: true}, false
	case reply.Answer.Reason != ReasonOtherConfiguration:
		if reply.Answer.Reason == ReasonOverloaded {
			g.router.Choice.Busy(delegate.Address)
		}
		return reply.Answer, false
	}
	if len(reply.Configuration) > 0 {
		taken, err := g.router.Store.OfferConfiguration(reply.Configuration, "peer "+delegate.Name)
		if err != nil {
			g.router.Log.Error(err, "configuration of a delegate refused", "delegate", delegate.Name)
		}
		if taken || g.router.table.Load() != g.table {
			return RoutedAnswer{}, true
		}
	}
	return refuseRouted(ReasonNotReady, RetrySoonMillis, "%s has configuration %d, not %d",
		delegate.Name, reply.Answer.ConfigurationVersion, g.table.version), false
}

// call makes one call to a delegate. It ends early when the delegate does not respond.
func (g *routing) call(ctx context.Context, delegate PeerInfo, configuration []byte) (DelegatedAnswer, error) {
	clock := g.router.Clock
	sent := clock.Now()
	limited, cancel := clock.WithDeadline(ctx, g.deadline)
	defer cancel()
	if g.route.Idempotent {
		defer g.watch(ctx, delegate, sent, cancel)()
	}
	reply, err := g.router.DelegateClient.Delegate(limited, delegate.Address, DelegatedRequest{
		Request:              g.request,
		ConfigurationVersion: g.table.version,
		Configuration:        configuration,
		Elapsed:              sent - g.request.Arrived,
		Left:                 g.deadline - sent,
	})
	if err != nil && ctx.Err() == nil && (clock.Now() < g.deadline || !g.router.Choice.HeardSince(delegate.Address, sent)) {
		g.router.Choice.DelegateFailed(delegate.Address, err)
	}
	return reply, err
}

// watch calls cancel once the delegate, asked some time after the objective of the route
// and from time to time from then on, does not respond. The returned function ends the
// watch.
func (g *routing) watch(ctx context.Context, delegate PeerInfo, sent Millis, cancel func()) func() {
	watching, end := context.WithCancel(ctx)
	clock := g.router.Clock
	since := sent
	var ask func()
	ask = func() {
		now := clock.Now()
		responds := g.router.Choice.Responds(watching, delegate.Address, since)
		switch {
		case watching.Err() != nil:
		case responds:
			since = now
			clock.AfterFunc(DelegateAskMillis, ask)
		default:
			cancel()
		}
	}
	stop := clock.AfterFunc(g.route.Objective+DelegateSilenceMillis, ask)
	return func() { stop(); end() }
}

// AnswerDelegated answers a request of another instance. ctx ends when that one does
// not wait any more.
func (r *Router) AnswerDelegated(ctx context.Context, delegated DelegatedRequest) DelegatedAnswer {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.Counters.Add(CountDelegatedHere, 1)
	request := r.toLocalRequest(delegated)
	if len(delegated.Configuration) > 0 {
		if _, err := r.Store.OfferConfiguration(delegated.Configuration, "delegated request"); err != nil {
			r.Log.Error(err, "configuration of a peer refused", "request", request.ID)
		}
	}
	if err := r.Pause.Await(ctx); err != nil {
		return DelegatedAnswer{Answer: refuseRouted(ReasonDeadlinePassed, 0, "the caller has left")}
	}
	if len(r.Choice.Delegates()) > 0 {
		return DelegatedAnswer{Answer: refuseRouted(ReasonNotReady, RetrySoonMillis, "this instance delegates, too")}
	}
	table := r.table.Load()
	if table == nil || table.version != delegated.ConfigurationVersion {
		return r.refuseConfiguration(table, delegated.ConfigurationVersion)
	}
	g := &routing{router: r, request: request, table: table, delegated: true}
	answer, _ := g.run(ctx)
	r.report(request, answer)
	return DelegatedAnswer{Answer: answer}
}

// received returns the request of another instance by this one's clock.
func (r *Router) toLocalRequest(delegated DelegatedRequest) RoutedRequest {
	now := r.Clock.Now()
	request := delegated.Request
	request.Arrived = now - delegated.Elapsed - DelegateHopMillis
	request.Deadline = now + delegated.Left
	request.fingerprint = request.newFingerprint()
	return request
}

// refuseConfiguration answers a request that is to be answered under another
// configuration than the one in force.
func (r *Router) refuseConfiguration(table *RouteTable, version uint64) DelegatedAnswer {
	answer := DelegatedAnswer{Answer: refuseRouted(ReasonOtherConfiguration, RetrySoonMillis, "another configuration is in force")}
	if table == nil {
		return answer
	}
	answer.Answer.ConfigurationVersion = table.version
	if table.version > version {
		answer.Configuration = r.Store.rawConfiguration(table.version)
	}
	return answer
}
