package core

import (
	"context"
	"errors"
	"sync/atomic"
)

// ErrNotDelivered means that a peer certainly did not receive a call.
var ErrNotDelivered = errors.New("call not delivered")

// errUnconfirmed means that an instance did not confirm in time that it received a request.
var errUnconfirmed = errors.New("receipt of the request not confirmed")

// DelegateClient sends requests to other instances, which answer them.
type DelegateClient interface {
	// Delegate sends a request and returns the answer. It calls received once the instance has
	// confirmed that it got the request. Its errors wrap ErrNotDelivered if the request
	// certainly did not reach the instance.
	Delegate(ctx context.Context, address string, request DelegatedRequest, received func()) (DelegatedAnswer, error)
	// Confirms reports whether the instance at the address is known to confirm requests.
	Confirms(address string) bool
}

// DelegateSelector selects the instances that requests are delegated to.
type DelegateSelector interface {
	// Delegates returns the instances that requests are delegated to, in the order in which
	// they are tried. It returns none if this instance sends requests to upstreams itself.
	Delegates() []PeerInfo
	// DelegateFailed records that a call to a delegate failed.
	DelegateFailed(address string, err error)
	// OffloadTargets returns the other instances that send requests to upstreams and have not
	// recently refused one, in a new random order for each call.
	OffloadTargets() []PeerInfo
	// MarkOverloaded records that an instance refused a request because it was overloaded.
	MarkOverloaded(address string)
	// Gatherers returns, by availability zone, the other instances that send requests to
	// upstreams and have not recently refused one.
	Gatherers() map[string][]PeerInfo
	// HeardSince reports whether a message from an instance was received after the given
	// time.
	HeardSince(address string, at Millis) bool
	// Responds reports whether a message from an instance was received after the given time.
	// If not, it sends the instance a message and waits up to ExchangeTimeoutMillis for the
	// reply.
	Responds(ctx context.Context, address string, at Millis) bool
	// WarmupEnd returns when this instance is expected to know enough about the upstreams to
	// send them requests. It returns nothing if it already does.
	WarmupEnd() Option[Millis]
}

// activeRequest holds the state of one routed request that is being answered.
type activeRequest struct {
	router   *Router
	request  RoutedRequest
	table    *RouteTable
	route    Route
	deadline Millis
	// delegated is set for a request that another instance sent.
	delegated bool
}

// delegate sends the request to other instances, one after the other until one of them may
// have run it. reroute is set if a newer configuration was received from one of them. The
// request must then be routed again.
func (g *activeRequest) delegate(ctx context.Context, delegates []PeerInfo) (answer RoutedAnswer, reroute bool) {
	for _, delegate := range delegates {
		answer, reroute = g.delegateTo(ctx, delegate)
		answer.Delegate = delegate.Name
		if reroute || answer.Outcome != OutcomeNotRun || ctx.Err() != nil || g.router.Clock.Now() >= g.deadline {
			return answer, reroute
		}
		g.router.Log.V(1).Info("delegate refused", "request", g.request.ID, "delegate", delegate.Name,
			"reason", string(answer.Reason), "detail", answer.Detail)
	}
	return answer, false
}

// delegateTo sends the request to one delegate, and once more with the configuration that it
// was routed under if the delegate has an older one. The second result is true if a newer
// configuration was received: the request must then be routed again.
func (g *activeRequest) delegateTo(ctx context.Context, delegate PeerInfo) (RoutedAnswer, bool) {
	reply, err := g.callDelegate(ctx, delegate, nil)
	if err == nil && reply.Answer.Reason == ReasonOtherConfiguration && reply.Answer.ConfigurationVersion < g.table.version {
		reply, err = g.callDelegate(ctx, delegate, g.router.Store.rawConfiguration(g.table.version))
	}
	switch {
	case errors.Is(err, ErrNotDelivered):
		return refuseRouted(ReasonNoUpstream, RetrySoonMillis, "%s can't be reached: %v", delegate.Name, err), false
	case err != nil && ctx.Err() != nil:
		return RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonTimeout, Detail: "wait for " + delegate.Name}, false
	case err != nil:
		return RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonConnectionLost, Detail: err.Error(), CloseConnection: true}, false
	case reply.Answer.Reason != ReasonOtherConfiguration:
		if reply.Answer.Reason == ReasonOverloaded {
			g.router.Delegation.MarkOverloaded(delegate.Address)
		}
		return reply.Answer, false
	}
	if len(reply.Configuration) > 0 {
		accepted, err := g.router.Store.UpdateConfiguration(reply.Configuration, "peer "+delegate.Name)
		if err != nil {
			g.router.Log.Error(err, "configuration of a delegate refused", "delegate", delegate.Name)
		}
		if accepted || g.router.table.Load() != g.table {
			return RoutedAnswer{}, true
		}
	}
	return refuseRouted(ReasonNotReady, RetrySoonMillis, "%s has configuration %d, not %d",
		delegate.Name, reply.Answer.ConfigurationVersion, g.table.version), false
}

// callDelegate makes one call to a delegate. If the route is idempotent, the call ends before
// its deadline when the delegate does not respond.
func (g *activeRequest) callDelegate(ctx context.Context, delegate PeerInfo, configuration []byte) (DelegatedAnswer, error) {
	clock := g.router.Clock
	sent := clock.Now()
	callCtx, cancel := clock.WithDeadline(ctx, g.deadline)
	defer cancel()
	received := func() {}
	if g.route.Idempotent {
		watch := g.watchDelegate(ctx, delegate, sent, cancel)
		defer watch.end()
		received = watch.received
	}
	reply, err := g.router.DelegateClient.Delegate(callCtx, delegate.Address, DelegatedRequest{
		Request:              g.request,
		ConfigurationVersion: g.table.version,
		Configuration:        configuration,
		Elapsed:              sent - g.request.Arrived,
		Remaining:            g.deadline - sent,
	}, received)
	if err != nil && ctx.Err() == nil && (clock.Now() < g.deadline || !g.router.Delegation.HeardSince(delegate.Address, sent)) {
		g.router.Delegation.DelegateFailed(delegate.Address, err)
	}
	return reply, err
}

// delegateWatch checks that a delegate responds while a call to it is in flight.
type delegateWatch struct {
	request  *activeRequest
	delegate PeerInfo
	// since is the time after which the delegate must have been heard from.
	since Millis
	// ctx ends with the call. cancel ends the call.
	ctx    context.Context
	stop   context.CancelFunc
	cancel func()
	// timers end the pending checks.
	endCheck, endConfirmation func() bool
	confirmed                 atomic.Bool
}

// watchDelegate checks that the delegate responds, first DelegateCheckDelayMillis after the
// latency objective of the route and then every DelegateCheckIntervalMillis. It calls cancel
// when the delegate does not respond. If the delegate is known to confirm requests and does not
// confirm this one, other requests pass it over at once, and the first check comes sooner.
func (g *activeRequest) watchDelegate(ctx context.Context, delegate PeerInfo, sent Millis, cancel func()) *delegateWatch {
	w := &delegateWatch{request: g, delegate: delegate, since: sent, cancel: cancel, endConfirmation: func() bool { return false }}
	w.ctx, w.stop = context.WithCancel(ctx)
	clock := g.router.Clock
	w.endCheck = clock.AfterFunc(g.route.Objective+DelegateCheckDelayMillis, w.check)
	if g.router.DelegateClient.Confirms(delegate.Address) {
		w.endConfirmation = clock.AfterFunc(DelegateConfirmMillis, func() {
			// This process may have been stalled and not have read the confirmation yet.
			clock.AfterFunc(DelegateConfirmGraceMillis, w.confirmationDue)
		})
	}
	return w
}

// received records that the delegate has confirmed the request.
func (w *delegateWatch) received() {
	w.confirmed.Store(true)
	w.endConfirmation()
}

// end ends the checks.
func (w *delegateWatch) end() {
	w.endConfirmation()
	w.endCheck()
	w.stop()
}

// confirmationDue passes the delegate over and checks it if it has not confirmed the request.
func (w *delegateWatch) confirmationDue() {
	if w.confirmed.Load() || w.ctx.Err() != nil || !w.endCheck() {
		return
	}
	router := w.request.router
	router.Counters.Add(CountUnconfirmedDelegations, 1)
	router.Delegation.DelegateFailed(w.delegate.Address, errUnconfirmed)
	w.check()
}

// check ends the call if the delegate does not respond, and else schedules the next check.
func (w *delegateWatch) check() {
	clock := w.request.router.Clock
	now := clock.Now()
	responds := w.request.router.Delegation.Responds(w.ctx, w.delegate.Address, w.since)
	switch {
	case w.ctx.Err() != nil:
	case responds:
		w.since = now
		clock.AfterFunc(DelegateCheckIntervalMillis, w.check)
	default:
		w.cancel()
	}
}

// AnswerDelegated answers a request that another instance delegated to this one. ctx ends
// when that instance stops waiting.
func (r *Router) AnswerDelegated(ctx context.Context, delegated DelegatedRequest) DelegatedAnswer {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.Counters.Add(CountDelegatedHere, 1)
	if r.Shutdown.Refusing() {
		return DelegatedAnswer{Answer: refuseStopping()}
	}
	request := r.toLocalRequest(delegated)
	if len(delegated.Configuration) > 0 {
		if _, err := r.Store.UpdateConfiguration(delegated.Configuration, "delegated request"); err != nil {
			r.Log.Error(err, "configuration of a peer refused", "request", request.ID)
		}
	}
	if err := r.Pause.Await(ctx); err != nil {
		return DelegatedAnswer{Answer: refuseRouted(ReasonDeadlinePassed, 0, "the caller has left")}
	}
	if len(r.Delegation.Delegates()) > 0 {
		return DelegatedAnswer{Answer: refuseRouted(ReasonNotReady, RetrySoonMillis, "this instance delegates, too")}
	}
	table := r.table.Load()
	if table == nil || table.version != delegated.ConfigurationVersion {
		return r.refuseVersionMismatch(table, delegated.ConfigurationVersion)
	}
	g := &activeRequest{router: r, request: request, table: table, delegated: true}
	answer, _ := g.run(ctx)
	r.logAnswer(request, answer)
	return DelegatedAnswer{Answer: answer}
}

// toLocalRequest returns the delegated request with its times converted to this instance's
// clock. The arrival is moved back by DelegateHopMillis, the time reserved for the hop.
func (r *Router) toLocalRequest(delegated DelegatedRequest) RoutedRequest {
	now := r.Clock.Now()
	request := delegated.Request
	request.Arrived = now - delegated.Elapsed - DelegateHopMillis
	request.Deadline = now + delegated.Remaining
	request.fingerprints = request.newFingerprints()
	return request
}

// refuseVersionMismatch refuses a request that was routed under another configuration than
// the one in force here. The answer contains the configuration in force here if it is newer.
func (r *Router) refuseVersionMismatch(table *RouteTable, version uint64) DelegatedAnswer {
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
