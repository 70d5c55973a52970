package core

import (
	"context"
	"slices"
	"testing"
	"time"
)

// TestExplorationDelaysNoCaller guards against measurements of upstreams that cost callers time,
// repeat requests that may not be repeated, or exceed the attempts of a route.
func TestExplorationDelaysNoCaller(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		attempts   int
		estimate   bool
		want       []string
	}{
		{"an upstream that was never measured gets an extra attempt", true, 2, true, []string{"s0-a", "s0-b"}},
		{"a request that may not be repeated is not sent twice", false, 2, true, []string{"s0-a"}},
		{"a route with one attempt gets no extra one", true, 1, true, []string{"s0-a"}},
		{"without the policy there are no extra attempts", true, 2, false, []string{"s0-a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			route := plainRoute(tc.idempotent, tc.attempts)
			// No hedge is due within the test, also beside other load.
			route.Timeout, route.Objective = 10*Second, 8*Second
			f := newRouterFixture(1, 2, route)
			f.fleet.policy.EstimateCapacity = tc.estimate
			for _, r := range f.fleet.replicas {
				r.estimate = f.fleet.newEstimate()
			}
			f.set("s0-b", answers(1500))
			answer := f.ask(context.Background())
			if elapsed := f.since(); answer.Outcome != OutcomeAnswered || elapsed >= 1000 {
				t.Fatalf("outcome %s after %d ms", answer.Outcome, elapsed)
			}
			// The extra attempt is sent in the background.
			deadline := time.Now().Add(time.Second)
			for len(f.sentTo()) < len(tc.want) && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if sent := f.sentTo(); !slices.Equal(sent, tc.want) {
				t.Fatalf("sent to %v, want %v", sent, tc.want)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.sent) > 1 && f.sent[1].at < f.sent[0].at+9 {
				t.Errorf("extra attempt at %d ms, before the reply to the attempt at %d ms", f.sent[1].at, f.sent[0].at)
			}
			explored := int64(len(tc.want) - 1)
			if counted := f.router.Counters.Get(CountExplorations); counted != explored {
				t.Errorf("%d explorations counted, want %d", counted, explored)
			}
		})
	}
}
