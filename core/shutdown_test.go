package core

import (
	"context"
	"errors"
	"testing"
)

// TestRequestsOfStoppingInstance guards against a stopping instance that passes on requests which
// it may not be able to answer, for its callers or for other instances.
func TestRequestsOfStoppingInstance(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(4, 1, scatteredRoute(4, 1))
		f.router.Shutdown.Refuse()
		answer := f.ask(context.Background())
		if answer.Outcome != OutcomeNotRun || answer.RetryAfter == 0 || !answer.CloseConnection {
			t.Errorf("a caller's request: %+v", answer)
		}
		request := DelegatedRequest{Request: RoutedRequest{ID: "id", Message: Message{Method: "GET", Host: "h", Target: "/p/1"}}, ConfigurationVersion: 7, Remaining: Second}
		if delegated := f.router.AnswerDelegated(context.Background(), request); delegated.Answer.Outcome != OutcomeNotRun {
			t.Errorf("a delegated request: %+v", delegated.Answer)
		}
		err := f.router.AnswerGroup(context.Background(), GroupRequest{DelegatedRequest: request, Shards: []int{0, 1}}, func(GroupReport) error { return nil })
		if !errors.Is(err, ErrGroupRefused) {
			t.Errorf("a group: %v", err)
		}
		if sent := f.sentTo(); len(sent) > 0 {
			t.Errorf("sent to %v", sent)
		}
	})
}

// TestRequestsEndWithStop covers the answers to requests in flight that are ended by a planned stop.
func TestRequestsEndWithStop(t *testing.T) {
	const stopAt = 150
	patient := scatteredRoute(2, 0.5)
	patient.Objective = 500
	cases := []struct {
		name    string
		route   Route
		set     map[string]behaviour
		outcome Outcome
		reason  Reason
	}{
		{"a sent request has an unknown outcome", plainRoute(false, 1), map[string]behaviour{"s0-a": hangs()}, OutcomeUnknown, ReasonTimeout},
		{"a merged answer has the parts that were received", patient, map[string]behaviour{"s0-a": hangs(), "s1-a": answers(50)}, OutcomeAnswered, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(2, 1, tc.route)
				for name, behave := range tc.set {
					f.set(name, behave)
				}
				f.clock.AfterFunc(stopAt, f.router.Shutdown.EndRequests)
				answer := f.ask(f.router.Shutdown.Context())
				if answer.Outcome != tc.outcome || answer.Reason != tc.reason || f.since() > stopAt {
					t.Errorf("%s, reason %q after %d ms (%s)", answer.Outcome, answer.Reason, f.since(), answer.Detail)
				}
			})
		})
	}
	t.Run("a context that is bound ends, too", func(t *testing.T) {
		s := NewShutdown()
		bound, release := s.Bind(context.Background())
		defer release()
		s.EndRequests()
		<-bound.Done()
		if !errors.Is(context.Cause(bound), ErrStopping) {
			t.Errorf("cause %v", context.Cause(bound))
		}
	})
}
