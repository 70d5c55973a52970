package core

import (
	"context"
	"sync"
	"testing"
	"time"
)

// crashes returns the behaviour of an upstream that crashes on every attempt: the attempt
// loses its connection after the given time, and a probe fails 50 ms later.
func (f *routerFixture) crashes(upstream string, after Millis) behaviour {
	return func(context.Context) (RoutedReply, error) {
		time.Sleep(after.Duration())
		time.AfterFunc(50*time.Millisecond, func() { f.fleet.ProbeFailed(upstream) })
		return RoutedReply{}, &AttemptError{Kind: FailureLost}
	}
}

// TestRequestsThatCrashUpstreams sends the same request four times. The last one is refused
// if the request crashes its upstreams, and not if connections break while the upstreams
// can still be reached.
func TestRequestsThatCrashUpstreams(t *testing.T) {
	cases := []struct {
		name  string
		route Route
		act   func(f *routerFixture, upstream string) behaviour
		// runs is the maximum number of attempts for all four requests, and refused is
		// whether the last request is refused.
		runs    int
		refused bool
	}{
		{
			"one service: refused after two runs", plainRoute(true, 2),
			func(f *routerFixture, upstream string) behaviour { return f.crashes(upstream, 5) }, 2, true,
		},
		{
			"not idempotent: refused after two runs", plainRoute(false, 2),
			func(f *routerFixture, upstream string) behaviour { return f.crashes(upstream, 5) }, 2, true,
		},
		{
			"scattered: refused after two runs per shard", scatteredRoute(3, 0.9),
			func(f *routerFixture, upstream string) behaviour { return f.crashes(upstream, 5) }, 6, true,
		},
		{
			"connections break, but upstreams stay reachable", plainRoute(true, 2),
			func(*routerFixture, string) behaviour { return fails(FailureLost, 5) }, 8, false,
		},
		{
			"upstreams answer", plainRoute(true, 2),
			func(*routerFixture, string) behaviour { return answers(5) }, 4, false,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(3, 4, tc.route)
				for _, target := range f.fleet.Targets() {
					f.set(target.Name, tc.act(f, target.Name))
				}
				var last RoutedAnswer
				for range 4 {
					last = f.ask(context.Background())
					time.Sleep(time.Second)
				}
				if refused := last.Reason == ReasonCrashesUpstreams; refused != tc.refused {
					t.Errorf("the last answer is %s (%s)", last.Outcome, last.Reason)
				}
				if tc.refused && last.Outcome != OutcomeNotRun {
					t.Errorf("the refusal says %s", last.Outcome)
				}
				if sent := f.sentTo(); len(sent) > tc.runs {
					t.Errorf("%d runs, want at most %d: %v", len(sent), tc.runs, sent)
				}
			})
		})
	}
}

// TestRepliesDuringOutageClear guards against the conviction of a request that is in flight at
// upstreams when they crash, although other upstreams reply to it all the while.
func TestRepliesDuringOutageClear(t *testing.T) {
	cases := []struct {
		name     string
		route    Route
		replicas int
		// crashed are the upstreams that crash with the next request that they get.
		crashed []string
		// others is what the remaining upstreams do.
		others  behaviour
		refused bool
	}{
		{"both upstreams of a shard, the other shards answer", scatteredRoute(20, 0.89), 2, []string{"s3-a", "s3-b"}, answers(10), false},
		{"upstreams of several shards", scatteredRoute(20, 0.89), 2, []string{"s3-a", "s3-b", "s4-a", "s4-b", "s5-a"}, answers(10), false},
		{"two of three upstreams of a service", plainRoute(true, 2), 3, []string{"s0-a", "s0-b"}, answers(10), false},
		{"the third upstream fails all requests", plainRoute(true, 2), 3, []string{"s0-a", "s0-b"}, fails(FailureError, 5), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(20, tc.replicas, tc.route)
				for _, target := range f.fleet.Targets() {
					f.set(target.Name, tc.others)
				}
				var group sync.WaitGroup
				defer group.Wait()
				for _, name := range tc.crashed {
					f.set(name, f.crashes(name, 5))
				}
				for range 50 {
					group.Go(func() { f.ask(context.Background()) })
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				last := f.ask(context.Background())
				if refused := last.Reason == ReasonCrashesUpstreams; refused != tc.refused {
					t.Errorf("the last answer is %s (%s)", last.Outcome, last.Reason)
				}
			})
		})
	}
}

// TestConvictionAfterCrashes checks that a request is convicted only by crashes that happen
// one after the other. Upstreams that crash at the same time may have another cause.
func TestConvictionAfterCrashes(t *testing.T) {
	request := RoutedRequest{Message: Message{Method: "GET", Host: "h", Target: "/p/1"}}
	fingerprint := request.newFingerprints().content
	cases := []struct {
		name    string
		record  func(q *Quarantine)
		verdict Verdict
	}{
		{"one crash", func(q *Quarantine) {
			q.RecordSharedCrash(fingerprint, 10, 20)
		}, VerdictSuspect},
		{"two attempts in flight while both upstreams crash", func(q *Quarantine) {
			q.RecordSharedCrash(fingerprint, 10, 20)
			q.RecordSharedCrash(fingerprint, 15, 25)
		}, VerdictSuspect},
		{"two crashes, one after the other", func(q *Quarantine) {
			q.RecordSharedCrash(fingerprint, 10, 20)
			q.RecordSharedCrash(fingerprint, 21, 25)
		}, VerdictConvicted},
		{"two crashes with a whole answer in between", func(q *Quarantine) {
			q.RecordSharedCrash(fingerprint, 10, 20)
			q.MarkCleared(fingerprint)
			q.RecordSharedCrash(fingerprint, 30, 40)
		}, VerdictSuspect},
		{"two crashes of different requests", func(q *Quarantine) {
			q.RecordSharedCrash(fingerprint, 10, 20)
			q.RecordSharedCrash(fingerprint+"x", 30, 40)
		}, VerdictSuspect},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := NewQuarantine(NewClockFrom(func() Millis { return Second }), func(Fact) {})
			tc.record(q)
			if verdict := q.Verdict(fingerprint); verdict != tc.verdict {
				t.Errorf("verdict %q, want %q", verdict, tc.verdict)
			}
		})
	}
}
