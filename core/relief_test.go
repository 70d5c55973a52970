package core

import (
	"context"
	"slices"
	"testing"
	"time"
)

// fallBehind makes the instance's timers be late.
func (f *routerFixture) fallBehind(late Millis) {
	for range 20 {
		f.lag.Observe(late)
	}
}

// TestRelief covers an instance with a slowed processor: others that keep up answer its
// requests, it does so itself where they don't, and refuses what would be late either way.
func TestRelief(t *testing.T) {
	whole := delegateAnswers(RoutedAnswer{Outcome: OutcomeAnswered, Merged: Some(MergedReply{Signatures: []string{"s"}})})
	behind := delegateAnswers(refuseRouted(ReasonOverloaded, RetrySoonMillis, "behind"))
	cases := []struct {
		name    string
		late    Millis
		act     delegateAct
		outcome Outcome
		asked   []string
		busy    []string
		sent    int
	}{
		{"one that keeps up does its work", 5, whole, OutcomeAnswered, nil, nil, 3},
		{"one that is behind has others do it", 12, whole, OutcomeAnswered, []string{"x"}, nil, 0},
		{"further behind, too", 40, whole, OutcomeAnswered, []string{"x"}, nil, 0},
		{"too far behind: refused at once", 60, whole, OutcomeNotRun, nil, nil, 0},
		{"others are behind, too", 12, behind, OutcomeAnswered, []string{"x", "y"}, []string{"x", "y"}, 3},
		{"others are behind, and it is too far behind for its shards", 40, behind, OutcomeNotRun, []string{"x", "y"}, []string{"x", "y"}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(3, 2, scatteredRoute(3, 0.9))
				f.choice.relievers = []PeerInfo{{Name: "x", Address: "x"}, {Name: "y", Address: "y"}, {Name: "z", Address: "z"}}
				f.choice.answer = map[string]delegateAct{"x": tc.act, "y": tc.act}
				f.fallBehind(tc.late)
				answer := f.ask(context.Background())
				if answer.Outcome != tc.outcome || !slices.Equal(f.choice.asked, tc.asked) || !slices.Equal(f.choice.busy, tc.busy) || len(f.sentTo()) != tc.sent {
					t.Errorf("%s, asked %v, busy %v, sent to %v (%s)", answer.Outcome, f.choice.asked, f.choice.busy, f.sentTo(), answer.Detail)
				}
			})
		})
	}
	t.Run("a delegated request is not passed on", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			f := newRouterFixture(3, 2, scatteredRoute(3, 0.9))
			f.choice.relievers = []PeerInfo{{Name: "x", Address: "x"}}
			f.choice.answer = map[string]delegateAct{"x": delegateAnswers(refuseRouted(ReasonOverloaded, RetrySoonMillis, "behind"))}
			f.fallBehind(12)
			answer := f.router.AnswerDelegated(context.Background(), DelegatedRequest{
				Request:              RoutedRequest{ID: "id", Message: Message{Method: "GET", Host: "h", Target: "/p/1"}},
				ConfigurationVersion: 7, Left: 400,
			}).Answer
			if answer.Outcome != OutcomeAnswered || len(f.choice.asked) > 0 {
				t.Errorf("%s, asked %v", answer.Outcome, f.choice.asked)
			}
		})
	})
}

// TestReliefHolds covers a slowed instance that keeps up only as long as others work for
// it: it takes up its work less and less often, and at once again after a calm time.
func TestReliefHolds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 1, scatteredRoute(1, 1))
		l := f.router.relief
		for i, hold := range []Millis{ReliefMinMillis, 2 * ReliefMinMillis, 4 * ReliefMinMillis, ReliefMaxMillis, ReliefMaxMillis} {
			f.fallBehind(30)
			if !l.wanted() {
				t.Fatalf("round %d: not wanted while behind", i)
			}
			f.fallBehind(0)
			time.Sleep((hold - 1).Duration())
			if !l.wanted() {
				t.Errorf("round %d: ended before %d ms", i, hold)
			}
			time.Sleep(2 * time.Millisecond)
			if l.wanted() {
				t.Errorf("round %d: still wanted after %d ms", i, hold)
			}
		}
		time.Sleep(ReliefCalmMillis.Duration())
		f.fallBehind(30)
		l.wanted()
		f.fallBehind(0)
		time.Sleep((ReliefMinMillis + 1).Duration())
		if l.wanted() {
			t.Error("a calm time did not end the long holds")
		}
	})
}
