package core

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

// fakeDelegates are instances that answer delegated requests as told.
type fakeDelegates struct {
	to     []PeerInfo
	answer map[string]func(ctx context.Context, request DelegatedRequest) (DelegatedAnswer, error)
	// asked are the names of those that got calls, failed those that were reported.
	asked []string
	// relievers are those that may answer while the instance is behind, busy those that
	// were reported as such.
	relievers []PeerInfo
	busy      []string
	failed    []string
	heard     bool
	settling  bool
	// responds is what is found out when an instance is asked whether it is there, until
	// the given number of questions.
	responds  bool
	questions int
	silentAt  int
	// gatherers are those that may gather shards, by zone.
	gatherers map[string][]PeerInfo
}

func (f *fakeDelegates) Gatherers() map[string][]PeerInfo { return f.gatherers }

func (f *fakeDelegates) Responds(context.Context, string, Millis) bool {
	f.questions++
	return f.heard || f.responds && (f.silentAt == 0 || f.questions < f.silentAt)
}

func (f *fakeDelegates) Delegates() []PeerInfo                  { return f.to }
func (f *fakeDelegates) DelegateFailed(address string, _ error) { f.failed = append(f.failed, address) }
func (f *fakeDelegates) HeardSince(string, Millis) bool         { return f.heard }
func (f *fakeDelegates) Relievers() []PeerInfo                  { return f.relievers }
func (f *fakeDelegates) Busy(address string)                    { f.busy = append(f.busy, address) }
func (f *fakeDelegates) Settling() Option[Millis] {
	if f.settling {
		return Some(Millis(time.Now().UnixMilli()) + 300)
	}
	return None[Millis]()
}

func (f *fakeDelegates) Delegate(ctx context.Context, address string, request DelegatedRequest) (DelegatedAnswer, error) {
	f.asked = append(f.asked, address)
	return f.answer[address](ctx, request)
}

// delegateAct is what an instance of the tests does with a delegated request.
type delegateAct = func(ctx context.Context, request DelegatedRequest) (DelegatedAnswer, error)

func delegateAnswers(answer RoutedAnswer) delegateAct {
	return func(context.Context, DelegatedRequest) (DelegatedAnswer, error) {
		return DelegatedAnswer{Answer: answer}, nil
	}
}

func delegateFails(err error) delegateAct {
	return func(context.Context, DelegatedRequest) (DelegatedAnswer, error) { return DelegatedAnswer{}, err }
}

func delegateHangs(ctx context.Context, _ DelegatedRequest) (DelegatedAnswer, error) {
	<-ctx.Done()
	return DelegatedAnswer{}, ctx.Err()
}

// TestDelegatedRequests covers an instance that has others answer: what it does when
// these refuse, break off, fall silent or can't be reached.
func TestDelegatedRequests(t *testing.T) {
	whole := delegateAnswers(RoutedAnswer{Outcome: OutcomeAnswered, Merged: Some(MergedReply{Signatures: []string{"s"}})})
	refused := delegateAnswers(refuseRouted(ReasonOverloaded, RetrySoonMillis, "full"))
	unknown := delegateAnswers(RoutedAnswer{Outcome: OutcomeUnknown, Reason: ReasonTimeout})
	lost := delegateFails(errors.New("connection lost"))
	unreached := delegateFails(fmt.Errorf("%w: refused", ErrNotDelivered))
	cases := []struct {
		name    string
		route   Route
		a, b    delegateAct
		heard   bool
		outcome Outcome
		asked   []string
		failed  []string
		most    Millis
	}{
		{"the first answers", scatteredRoute(3, 0.9), whole, whole, true, OutcomeAnswered, []string{"a"}, nil, 0},
		{"one that can't be reached is passed over", scatteredRoute(3, 0.9), unreached, whole, true, OutcomeAnswered, []string{"a", "b"}, []string{"a"}, 0},
		{"one that refuses is passed over", scatteredRoute(3, 0.9), refused, whole, true, OutcomeAnswered, []string{"a", "b"}, nil, 0},
		{"so it is with a request that may not be repeated", plainRoute(false, 2), refused, whole, true, OutcomeAnswered, []string{"a", "b"}, nil, 0},
		{"all refuse: nothing ran", scatteredRoute(3, 0.9), refused, refused, true, OutcomeNotRun, []string{"a", "b"}, nil, 0},
		{"a connection that breaks proves nothing", scatteredRoute(3, 0.9), lost, whole, true, OutcomeUnknown, []string{"a"}, []string{"a"}, 0},
		{"an unknown outcome is passed on", plainRoute(true, 2), unknown, whole, true, OutcomeUnknown, []string{"a"}, nil, 0},
		{"one that falls silent is given up soon after the objective", scatteredRoute(3, 0.9), delegateHangs, whole, false, OutcomeUnknown, []string{"a"}, []string{"a"}, 200},
		{"one that is slow and heard is waited for", scatteredRoute(3, 0.9), delegateHangs, whole, true, OutcomeUnknown, []string{"a"}, nil, Second},
		{"silence ends no request that may not be repeated", plainRoute(false, 2), delegateHangs, whole, false, OutcomeUnknown, []string{"a"}, []string{"a"}, Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(3, 2, tc.route)
				f.choice = fakeDelegates{
					to:     []PeerInfo{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}},
					answer: map[string]delegateAct{"a": tc.a, "b": tc.b}, heard: tc.heard,
				}
				answer := f.ask(context.Background())
				if answer.Outcome != tc.outcome || !slices.Equal(f.choice.asked, tc.asked) || !slices.Equal(f.choice.failed, tc.failed) {
					t.Errorf("got %s, asked %v, failed %v; want %s, %v, %v",
						answer.Outcome, f.choice.asked, f.choice.failed, tc.outcome, tc.asked, tc.failed)
				}
				if f.since() > tc.most {
					t.Errorf("answered after %d ms, want at most %d", f.since(), tc.most)
				}
				if sent := f.sentTo(); len(sent) > 0 {
					t.Errorf("sent to %v", sent)
				}
			})
		})
	}
}

// TestLateDelegatedAnswers covers answers that come long after the objective through a
// delegate that was not heard meanwhile: it is asked before it is given up.
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
		name     string
		responds bool
		silentAt int
		outcome  Outcome
		most     Millis
	}{
		{"one that responds is waited for", true, 0, OutcomeAnswered, 900},
		{"one that does not is given up", false, 0, OutcomeUnknown, 200},
		{"so is one that falls silent later", true, 2, OutcomeUnknown, 200 + DelegateAskMillis},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(3, 2, scatteredRoute(3, 0.9))
				f.choice = fakeDelegates{
					to: []PeerInfo{{Name: "a", Address: "a"}}, answer: map[string]delegateAct{"a": late},
					responds: tc.responds, silentAt: tc.silentAt,
				}
				answer := f.ask(context.Background())
				if answer.Outcome != tc.outcome || f.since() > tc.most {
					t.Errorf("%s after %d ms, want %s after %d at most", answer.Outcome, f.since(), tc.outcome, tc.most)
				}
			})
		})
	}
}

// TestDelegatedTime covers what is left of a deadline and of an objective where a
// request is delegated.
func TestDelegatedTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(20, 2, scatteredRoute(20, 0.89))
		f.set("s0-a", hangs())
		f.set("s0-b", hangs())
		answer := f.router.AnswerDelegated(context.Background(), DelegatedRequest{
			Request:              RoutedRequest{ID: "id", Message: Message{Method: "GET", Host: "h", Target: "/p/1"}},
			ConfigurationVersion: 7, Elapsed: 30, Left: 400,
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
				t.Errorf("an upstream is given %d ms of 400", attempt.deadline-attempt.at)
			}
		}
	})
}

// TestDelegatedConfigurations covers two instances with different configurations: a
// request is answered under one that both have in force, which never goes back.
func TestDelegatedConfigurations(t *testing.T) {
	cases := []struct {
		name    string
		here    uint64
		there   uint64
		rounds  int
		version uint64
	}{
		{"the same", 7, 7, 1, 7},
		{"the delegate has a newer one", 7, 8, 2, 8},
		{"the delegate has an older one", 8, 7, 2, 8},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				here, there := newRouterFixture(3, 2, scatteredRoute(3, 0.9)), newRouterFixture(3, 2, scatteredRoute(3, 0.9))
				calls := 0
				here.choice = fakeDelegates{to: []PeerInfo{{Name: "a", Address: "a"}}, heard: true, answer: map[string]delegateAct{
					"a": func(ctx context.Context, request DelegatedRequest) (DelegatedAnswer, error) {
						calls++
						return there.router.AnswerDelegated(ctx, request), nil
					},
				}}
				here.publish(tc.here)
				there.publish(tc.there)
				answer := here.ask(context.Background())
				if answer.Outcome != OutcomeAnswered || answer.ConfigurationVersion != tc.version || calls != tc.rounds {
					t.Errorf("%s under %d after %d calls, want %d after %d (%s)",
						answer.Outcome, answer.ConfigurationVersion, calls, tc.version, tc.rounds, answer.Detail)
				}
				if sent := here.sentTo(); len(sent) > 0 {
					t.Errorf("the instance that delegates sent to %v", sent)
				}
			})
		})
	}
}

// TestSettling covers an instance that has just lost its delegates: it refuses until it
// has read the list of upstreams.
func TestSettling(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(3, 2, scatteredRoute(3, 0.9))
		f.choice.settling = true
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeNotRun || len(f.sentTo()) > 0 || f.since() > 0 || answer.RetryAfter != 300 {
			t.Errorf("%s, sent to %v, to come back after %d ms", answer.Outcome, f.sentTo(), answer.RetryAfter)
		}
		f.choice.settling = false
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeAnswered {
			t.Errorf("%s (%s)", answer.Outcome, answer.Detail)
		}
	})
}
