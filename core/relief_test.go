package core

import (
	"context"
	"slices"
	"testing"
	"time"
)

// simulateLag reports late timers to the lag meter until its average is close to late.
func (f *routerFixture) simulateLag(late Millis) {
	for range 20 {
		f.lag.Observe(late)
	}
}

// TestOffload covers an instance with a slow processor: it offloads requests to other
// instances, answers them itself if those are overloaded, too, and refuses requests that
// would be too late in either case.
func TestOffload(t *testing.T) {
	answered := delegateAnswers(RoutedAnswer{Outcome: OutcomeAnswered, Merged: Some(MergedReply{Signatures: []string{"s"}})})
	overloaded := delegateAnswers(refuseRouted(ReasonOverloaded, RetrySoonMillis, "lagging"))
	cases := []struct {
		name       string
		late       Millis
		behave     delegateHandler
		outcome    Outcome
		called     []string
		overloaded []string
		sent       int
	}{
		{"small lag: answers itself", 5, answered, OutcomeAnswered, nil, nil, 3},
		{"moderate lag: offloads", 12, answered, OutcomeAnswered, []string{"x"}, nil, 0},
		{"large lag: offloads", 40, answered, OutcomeAnswered, []string{"x"}, nil, 0},
		{"too much lag to offload: refuses", 60, answered, OutcomeNotRun, nil, nil, 0},
		{"moderate lag, other instances overloaded: answers itself", 12, overloaded, OutcomeAnswered, []string{"x", "y"}, []string{"x", "y"}, 3},
		{"large lag, other instances overloaded: refuses", 40, overloaded, OutcomeNotRun, []string{"x", "y"}, []string{"x", "y"}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(3, 2, scatteredRoute(3, 0.9))
				f.delegation.offloadTargets = []PeerInfo{{Name: "x", Address: "x"}, {Name: "y", Address: "y"}, {Name: "z", Address: "z"}}
				f.delegation.handlers = map[string]delegateHandler{"x": tc.behave, "y": tc.behave}
				f.simulateLag(tc.late)
				answer := f.ask(context.Background())
				if answer.Outcome != tc.outcome || !slices.Equal(f.delegation.called, tc.called) || !slices.Equal(f.delegation.overloaded, tc.overloaded) || len(f.sentTo()) != tc.sent {
					t.Errorf("%s, called %v, overloaded %v, sent to %v (%s)", answer.Outcome, f.delegation.called, f.delegation.overloaded, f.sentTo(), answer.Detail)
				}
			})
		})
	}
	t.Run("a delegated request is not offloaded again", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			f := newRouterFixture(3, 2, scatteredRoute(3, 0.9))
			f.delegation.offloadTargets = []PeerInfo{{Name: "x", Address: "x"}}
			f.delegation.handlers = map[string]delegateHandler{"x": delegateAnswers(refuseRouted(ReasonOverloaded, RetrySoonMillis, "lagging"))}
			f.simulateLag(12)
			answer := f.router.AnswerDelegated(context.Background(), DelegatedRequest{
				Request:              RoutedRequest{ID: "id", Message: Message{Method: "GET", Host: "h", Target: "/p/1"}},
				ConfigurationVersion: 7, Remaining: 400,
			}).Answer
			if answer.Outcome != OutcomeAnswered || len(f.delegation.called) > 0 {
				t.Errorf("%s, called %v", answer.Outcome, f.delegation.called)
			}
		})
	})
}

// TestOffloadHoldTime covers a slow instance that keeps up only while it offloads: the hold
// time doubles up to its maximum, and starts from the minimum again after a time without
// lag.
func TestOffloadHoldTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 1, scatteredRoute(1, 1))
		o := f.router.offloader
		for i, hold := range []Millis{OffloadMinMillis, 2 * OffloadMinMillis, 4 * OffloadMinMillis, OffloadMaxMillis, OffloadMaxMillis} {
			f.simulateLag(30)
			if !o.shouldOffload() {
				t.Fatalf("round %d: not offloading while lagging", i)
			}
			f.simulateLag(0)
			time.Sleep((hold - 1).Duration())
			if !o.shouldOffload() {
				t.Errorf("round %d: offloading ended before %d ms", i, hold)
			}
			time.Sleep(2 * time.Millisecond)
			if o.shouldOffload() {
				t.Errorf("round %d: still offloading after %d ms", i, hold)
			}
		}
		time.Sleep(OffloadResetMillis.Duration())
		f.simulateLag(30)
		o.shouldOffload()
		f.simulateLag(0)
		time.Sleep((OffloadMinMillis + 1).Duration())
		if o.shouldOffload() {
			t.Error("the hold time was not reset after a time without lag")
		}
	})
}
