package core

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// fakeDelegates implements DelegateSelector and DelegateClient for tests. The instances that it
// returns answer delegated requests with the functions in handlers.
type fakeDelegates struct {
	delegates []PeerInfo
	handlers  map[string]func(ctx context.Context, request DelegatedRequest) (DelegatedAnswer, error)
	// called are the addresses of the instances that received calls.
	called []string
	// offloadTargets is the result of OffloadTargets. overloaded and failed are the addresses
	// that MarkOverloaded and DelegateFailed were called for.
	offloadTargets []PeerInfo
	overloaded     []string
	failed         []string
	// mu protects failedAt, the times at which DelegateFailed was called.
	mu       sync.Mutex
	failedAt []time.Time
	// heard is the result of HeardSince. If it is set, Responds returns true, too. warmingUp
	// is set if WarmupEnd returns a time.
	heard     bool
	warmingUp bool
	// responds is the result of Responds unless heard is set, and livenessChecks counts its
	// calls. If silentFromCheck is not zero, the result is false from that call on.
	responds        bool
	livenessChecks  int
	silentFromCheck int
	// confirms is the result of Confirms. Calls of an instance in unconfirmed are not confirmed.
	confirms    bool
	unconfirmed Set[string]
	// gatherers is the result of Gatherers.
	gatherers map[string][]PeerInfo
}

func (f *fakeDelegates) Gatherers() map[string][]PeerInfo { return f.gatherers }

func (f *fakeDelegates) Responds(context.Context, string, Millis) bool {
	f.livenessChecks++
	return f.heard || f.responds && (f.silentFromCheck == 0 || f.livenessChecks < f.silentFromCheck)
}

func (f *fakeDelegates) DelegateFailed(address string, _ error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = append(f.failed, address)
	f.failedAt = append(f.failedAt, time.Now())
}

func (f *fakeDelegates) Delegates() []PeerInfo          { return f.delegates }
func (f *fakeDelegates) HeardSince(string, Millis) bool { return f.heard }
func (f *fakeDelegates) OffloadTargets() []PeerInfo     { return f.offloadTargets }
func (f *fakeDelegates) MarkOverloaded(address string)  { f.overloaded = append(f.overloaded, address) }
func (f *fakeDelegates) WarmupEnd() Option[Millis] {
	if f.warmingUp {
		return Some(Millis(time.Now().UnixMilli()) + 300)
	}
	return None[Millis]()
}

func (f *fakeDelegates) Confirms(string) bool { return f.confirms }

func (f *fakeDelegates) Delegate(ctx context.Context, address string, request DelegatedRequest, received func()) (DelegatedAnswer, error) {
	f.called = append(f.called, address)
	if !f.unconfirmed.Has(address) {
		received()
	}
	return f.handlers[address](ctx, request)
}

// delegateHandler handles a delegated request in place of another instance.
type delegateHandler = func(ctx context.Context, request DelegatedRequest) (DelegatedAnswer, error)

func delegateAnswers(answer RoutedAnswer) delegateHandler {
	return func(context.Context, DelegatedRequest) (DelegatedAnswer, error) {
		return DelegatedAnswer{Answer: answer}, nil
	}
}

func delegateFails(err error) delegateHandler {
	return func(context.Context, DelegatedRequest) (DelegatedAnswer, error) { return DelegatedAnswer{}, err }
}

func delegateHangs(ctx context.Context, _ DelegatedRequest) (DelegatedAnswer, error) {
	<-ctx.Done()
	return DelegatedAnswer{}, ctx.Err()
}

// TestDelegatedRequests covers an instance that delegates requests, when the delegates refuse,
// break the connection, stop responding or can't be reached.
func TestDelegatedRequests(t *testing.T) {
	answered := delegateAnswers(RoutedAnswer{Outcome: OutcomeAnswered, Merged: Some(MergedReply{Signatures: []string{"s"}})})
	refused := delegateAnswers(refuseRouted(ReasonOverloaded, RetrySoonMillis, "full"))
	unknown := delegateAnswers(RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonTimeout})
	lost := delegateFails(errors.New("connection lost"))
	unreachable := delegateFails(fmt.Errorf("%w: refused", ErrNotDelivered))
	cases := []struct {
		name       string
		route      Route
		a, b       delegateHandler
		heard      bool
		outcome    Outcome
		called     []string
		failed     []string
		maxElapsed Millis
	}{
		{"the first answers", scatteredRoute(3, 0.9), answered, answered, true, OutcomeAnswered, []string{"a"}, nil, 0},
		{"the next is tried after one that can't be reached", scatteredRoute(3, 0.9), unreachable, answered, true, OutcomeAnswered, []string{"a", "b"}, []string{"a"}, 0},
		{"the next is tried after one that refuses", scatteredRoute(3, 0.9), refused, answered, true, OutcomeAnswered, []string{"a", "b"}, nil, 0},
		{"the next is tried after a refusal, for a request that may not be repeated", plainRoute(false, 2), refused, answered, true, OutcomeAnswered, []string{"a", "b"}, nil, 0},
		{"all refuse: the request was not run", scatteredRoute(3, 0.9), refused, refused, true, OutcomeNotRun, []string{"a", "b"}, nil, 0},
		{"a broken connection leaves the outcome unknown", scatteredRoute(3, 0.9), lost, answered, true, OutcomeUnknown, []string{"a"}, []string{"a"}, 0},
		{"an unknown outcome is returned", plainRoute(true, 2), unknown, answered, true, OutcomeUnknown, []string{"a"}, nil, 0},
		{"a delegate that stops responding is abandoned soon after the objective", scatteredRoute(3, 0.9), delegateHangs, answered, false, OutcomeUnknown, []string{"a"}, []string{"a"}, 200},
		{"a slow delegate that responds is waited for until the deadline", scatteredRoute(3, 0.9), delegateHangs, answered, true, OutcomeUnknown, []string{"a"}, nil, Second},
		{"a request that may not be repeated waits for an unresponsive delegate until the deadline", plainRoute(false, 2), delegateHangs, answered, false, OutcomeUnknown, []string{"a"}, []string{"a"}, Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(3, 2, tc.route)
				f.delegation = fakeDelegates{
					delegates: []PeerInfo{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}},
					handlers:  map[string]delegateHandler{"a": tc.a, "b": tc.b}, heard: tc.heard,
				}
				answer := f.ask(context.Background())
				if answer.Outcome != tc.outcome || !slices.Equal(f.delegation.called, tc.called) || !slices.Equal(f.delegation.failed, tc.failed) {
					t.Errorf("got %s, called %v, failed %v; want %s, %v, %v",
						answer.Outcome, f.delegation.called, f.delegation.failed, tc.outcome, tc.called, tc.failed)
				}
				if f.since() > tc.maxElapsed {
					t.Errorf("answered after %d ms, want at most %d", f.since(), tc.maxElapsed)
				}
				if sent := f.sentTo(); len(sent) > 0 {
					t.Errorf("sent to %v", sent)
				}
			})
		})
	}
}

// TestLateDelegatedAnswers covers answers that arrive long after the objective from a delegate
// that has sent no other message since. The request must not be abandoned before a check
// shows that the delegate does not respond.
func TestLateDelegatedAnswers(t *testing.T) {
	late := func(ctx context.Context, _ DelegatedRequest) (DelegatedAnswer, error) {
		select {
		case <-time.After(900 * time.Millisecond):
			return DelegatedAnswer{Answer: RoutedAnswer{Outcome: OutcomeAnswered, Merged: Some(MergedReply{Signatures: []string{"s"}})}}, nil
		case <-ctx.Done():
			return DelegatedAnswer{}, ctx.Err()
		}
	}
	cases := []struct {
		name            string
		responds        bool
		silentFromCheck int
		outcome         Outcome
		maxElapsed      Millis
	}{
		{"a delegate that responds is waited for", true, 0, OutcomeAnswered, 900},
		{"a delegate that does not respond is abandoned", false, 0, OutcomeUnknown, 200},
		{"a delegate that stops responding later is abandoned", true, 2, OutcomeUnknown, 200 + DelegateCheckIntervalMillis},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(3, 2, scatteredRoute(3, 0.9))
				f.delegation = fakeDelegates{
					delegates: []PeerInfo{{Name: "a", Address: "a"}}, handlers: map[string]delegateHandler{"a": late},
					responds: tc.responds, silentFromCheck: tc.silentFromCheck,
				}
				answer := f.ask(context.Background())
				if answer.Outcome != tc.outcome || f.since() > tc.maxElapsed {
					t.Errorf("%s after %d ms, want %s after at most %d", answer.Outcome, f.since(), tc.outcome, tc.maxElapsed)
				}
			})
		})
	}
}

// TestDelegatedDeadlines covers the remaining time of a delegated request: its deadline and its
// latency objective count from its arrival at the instance that delegated it.
func TestDelegatedDeadlines(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(20, 2, scatteredRoute(20, 0.89))
		f.set("s0-a", hangs())
		f.set("s0-b", hangs())
		answer := f.router.AnswerDelegated(context.Background(), DelegatedRequest{
			Request:              RoutedRequest{ID: "id", Message: Message{Method: "GET", Host: "h", Target: "/p/1"}},
			ConfigurationVersion: 7, Elapsed: 30, Remaining: 400,
		}).Answer
		if merged, _ := answer.Merged.Get(); merged.Missing != 1 {
			t.Errorf("got %s, %d missing", answer.Outcome, merged.Missing)
		}
		if limit := 100 - 30 - CloseMarginMillis; f.since() > limit {
			t.Errorf("closed after %d ms, want at most %d", f.since(), limit)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, attempt := range f.sent {
			if attempt.deadline-attempt.at > 400 {
				t.Errorf("the deadline of an attempt is after %d ms, want at most 400", attempt.deadline-attempt.at)
			}
		}
	})
}

// TestDelegatedConfigurations covers two instances with different configurations. The older
// one is replaced by the newer one, never the other way round, and the request is answered
// under the newer one.
func TestDelegatedConfigurations(t *testing.T) {
	cases := []struct {
		name      string
		local     uint64
		remote    uint64
		wantCalls int
		version   uint64
	}{
		{"the same configuration", 7, 7, 1, 7},
		{"the delegate has a newer configuration", 7, 8, 2, 8},
		{"the delegate has an older configuration", 8, 7, 2, 8},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				local, remote := newRouterFixture(3, 2, scatteredRoute(3, 0.9)), newRouterFixture(3, 2, scatteredRoute(3, 0.9))
				calls := 0
				local.delegation = fakeDelegates{delegates: []PeerInfo{{Name: "a", Address: "a"}}, heard: true, handlers: map[string]delegateHandler{
					"a": func(ctx context.Context, request DelegatedRequest) (DelegatedAnswer, error) {
						calls++
						return remote.router.AnswerDelegated(ctx, request), nil
					},
				}}
				local.publish(tc.local)
				remote.publish(tc.remote)
				answer := local.ask(context.Background())
				if answer.Outcome != OutcomeAnswered || answer.ConfigurationVersion != tc.version || calls != tc.wantCalls {
					t.Errorf("%s under %d after %d calls, want %d after %d (%s)",
						answer.Outcome, answer.ConfigurationVersion, calls, tc.version, tc.wantCalls, answer.Detail)
				}
				if sent := local.sentTo(); len(sent) > 0 {
					t.Errorf("the instance that delegates sent to %v", sent)
				}
			})
		})
	}
}

// TestWarmup covers an instance that has just lost its delegates. It refuses requests until
// it has read the list of upstreams.
func TestWarmup(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(3, 2, scatteredRoute(3, 0.9))
		f.delegation.warmingUp = true
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeNotRun || len(f.sentTo()) > 0 || f.since() > 0 || answer.RetryAfter != 300 {
			t.Errorf("%s, sent to %v, retry after %d ms", answer.Outcome, f.sentTo(), answer.RetryAfter)
		}
		f.delegation.warmingUp = false
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeAnswered {
			t.Errorf("%s (%s)", answer.Outcome, answer.Detail)
		}
	})
}

// TestUnconfirmedDelegation covers a delegate that has just lost power: its connection stays open
// and carries nothing. It must be passed over as soon as it fails to confirm a request, not only
// after the latency objective, and the request must not go to another delegate, as it may have run.
func TestUnconfirmedDelegation(t *testing.T) {
	const confirmDue = DelegateConfirmMillis + DelegateConfirmGraceMillis
	slowRoute := scatteredRoute(3, 0.9)
	slowRoute.Objective = 300
	cases := []struct {
		name       string
		route      Route
		confirms   bool
		silent     Set[string]
		responds   bool
		passedOver bool
		maxElapsed Millis
	}{
		{"it does not respond", slowRoute, true, NewSet("a"), false, true, confirmDue},
		{"it responds to the check", slowRoute, true, NewSet("a"), true, true, Second},
		{"it has confirmed the request", slowRoute, true, NewSet[string](), false, false, slowRoute.Objective + DelegateCheckDelayMillis},
		{"it has an earlier version and does not confirm", slowRoute, false, NewSet("a"), false, false, slowRoute.Objective + DelegateCheckDelayMillis},
		{"the request may not be repeated", plainRoute(false, 2), true, NewSet("a"), false, false, Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(3, 2, tc.route)
				f.delegation = fakeDelegates{
					delegates: []PeerInfo{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}},
					handlers:  map[string]delegateHandler{"a": delegateHangs, "b": delegateHangs},
					confirms:  tc.confirms, unconfirmed: tc.silent, responds: tc.responds,
				}
				due := time.Now().Add(confirmDue.Duration())
				answer := f.ask(context.Background())
				if answer.Outcome != OutcomeUnknown || !slices.Equal(f.delegation.called, []string{"a"}) {
					t.Errorf("got %s, called %v", answer.Outcome, f.delegation.called)
				}
				if elapsed := f.since(); elapsed > tc.maxElapsed {
					t.Errorf("answered after %d ms, want at most %d", elapsed, tc.maxElapsed)
				}
				f.delegation.mu.Lock()
				defer f.delegation.mu.Unlock()
				passedOver := len(f.delegation.failedAt) > 0 && !f.delegation.failedAt[0].After(due)
				if passedOver != tc.passedOver {
					t.Errorf("passed over when the confirmation was due: %t, want %t", passedOver, tc.passedOver)
				}
			})
		})
	}
}
