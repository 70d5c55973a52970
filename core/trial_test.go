package core

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// restore lets an upstream that has crashed answer again, or do something else.
func (f *routerFixture) restore(upstream string, act behaviour) {
	f.set(upstream, act)
	f.fleet.Observe(upstream, UpstreamStatus{Incarnation: uint64(f.clock.Now()), Phase: PhaseLive})
}

// askEvery sends the request again and again for some time, and returns the reasons of the answers.
func (f *routerFixture) askEvery(pause, length Millis) []Reason {
	var reasons []Reason
	for until := f.clock.Now() + length; f.clock.Now() < until; {
		reasons = append(reasons, f.ask(context.Background()).Reason)
		time.Sleep(pause.Duration())
	}
	return reasons
}

// TestConvictionEndsByTrial guards against the refusal for minutes of a request that was in flight
// when all upstreams of a service crashed, one after the other.
func TestConvictionEndsByTrial(t *testing.T) {
	for name, route := range map[string]Route{"one service": plainRoute(true, 2), "scattered": scatteredRoute(1, 0.9)} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(1, 2, route)
				upstreams := []string{"s0-a", "s0-b"}
				for _, name := range upstreams {
					f.set(name, f.crashes(name, 5))
				}
				f.ask(context.Background())
				time.Sleep(time.Second)
				for _, name := range upstreams {
					f.restore(name, answers(10))
				}
				reasons := f.askEvery(100, 2*TrialDelayMillis)
				if first, last := reasons[0], reasons[len(reasons)-1]; first != ReasonCrashesUpstreams || last != ReasonNone {
					t.Errorf("the first answer is %q and the last %q", first, last)
				}
				if trials := f.router.Counters.Get(CountVerdictTrials); trials != 1 {
					t.Errorf("%d trials, want 1", trials)
				}
			})
		})
	}
}

// TestTrialsAreBounded sends a request that crashes each upstream that runs it for as long as a
// verdict holds. It must not crash more than MaxTrials upstreams once it is convicted.
func TestTrialsAreBounded(t *testing.T) {
	cases := []struct {
		name  string
		route Route
		// first is how many upstreams the request may crash before it is convicted.
		first int
	}{
		{"one service", plainRoute(true, 2), 2},
		{"not idempotent", plainRoute(false, 2), 2},
		{"scattered", scatteredRoute(3, 0.9), 6},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(3, 3, tc.route)
				for _, target := range f.fleet.Targets() {
					var crash behaviour
					crash = func(ctx context.Context) (RoutedReply, error) {
						time.AfterFunc(2*time.Second, func() { f.restore(target.Name, crash) })
						return f.crashes(target.Name, 5)(ctx)
					}
					f.set(target.Name, crash)
				}
				reasons := f.askEvery(500, VerdictTTLMillis)
				if last := reasons[len(reasons)-1]; last != ReasonCrashesUpstreams {
					t.Errorf("the last answer is %q", last)
				}
				if sent := len(f.sentTo()); sent > tc.first+MaxTrials {
					t.Errorf("%d upstreams crashed, want at most %d and %d in trials", sent, tc.first, MaxTrials)
				}
				if trials := f.router.Counters.Get(CountVerdictTrials); trials == 0 {
					t.Error("there was no trial")
				}
			})
		})
	}
}

// TestTrialsAmongInstances checks that instances that know of a conviction try the request in turn, and
// that the result of a trial reaches all of them.
func TestTrialsAmongInstances(t *testing.T) {
	manual := &manualClock{now: Minute}
	var first, second *Quarantine
	first = NewQuarantine(manual.clock(), func(fact Fact) { second.Apply(fact) })
	second = NewQuarantine(manual.clock(), func(fact Fact) { first.Apply(fact) })
	for range ConvictAfterCrashes {
		first.RecordIsolatedCrash("f")
	}
	delay := TrialDelayMillis
	for trial := range MaxTrials {
		manual.now += delay - 1
		if first.BeginTrial("f") || second.BeginTrial("f") {
			t.Errorf("trial %d begins before its time", trial)
		}
		manual.now += delay/2 + 1
		one, other := first, second
		if trial%2 == 1 {
			one, other = second, first
		}
		if !one.BeginTrial("f") || other.BeginTrial("f") {
			t.Errorf("trial %d does not begin at one instance only", trial)
		}
		manual.now += Second
		one.RecordIsolatedCrash("f")
		delay *= TrialDelayFactor
	}
	for _, q := range []*Quarantine{first, second} {
		if due, ok := q.TrialDue("f").Get(); ok {
			t.Errorf("a further trial is due at %d, after %d crashes", due, MaxTrials)
		}
	}
	second.MarkCleared("f")
	if verdict := first.Verdict("f"); verdict != VerdictCleared {
		t.Errorf("verdict %q", verdict)
	}
}

// callerKey is the context key of a request's caller.
type callerKey struct{}

// askAs sends the request of a caller whose name stands in a header field.
func (f *routerFixture) askAs(caller string) RoutedAnswer {
	return f.router.Route(context.WithValue(context.Background(), callerKey{}, caller), RoutedRequest{
		ID: "id", Arrived: f.clock.Now(), Message: Message{
			Method: "GET", Host: "h", Target: "/p/1?q", Fields: []Field{{Name: "X-Caller", Value: caller}, {Name: "X-Request-Id", Value: "id"}},
		},
	})
}

// TestCrashesOfOneCaller sends a request that crashes upstreams for one caller only, again and again,
// beside the same request of another caller. It guards against answers of the other caller that end the
// conviction, and against a conviction that holds for the other caller, too.
func TestCrashesOfOneCaller(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const length, crasherPause, otherPause, downTime = 80 * Second, 2 * Second, 40, 2 * Second
		f := newRouterFixture(1, 3, plainRoute(true, 2))
		crashes := 0
		down := NewSet[string]()
		isDown := func(upstream string) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return down.Has(upstream)
		}
		for _, target := range f.fleet.Targets() {
			name := target.Name
			var act behaviour
			crash := func(ctx context.Context) (RoutedReply, error) {
				f.mu.Lock()
				crashes++
				down.Add(name)
				f.mu.Unlock()
				time.AfterFunc(downTime.Duration(), func() {
					f.mu.Lock()
					delete(down, name)
					f.mu.Unlock()
					f.restore(name, act)
				})
				return f.crashes(name, 1)(ctx)
			}
			act = func(ctx context.Context) (RoutedReply, error) {
				if isDown(name) {
					return RoutedReply{}, &AttemptError{Kind: FailureNotSent}
				}
				if ctx.Value(callerKey{}) == "crashing" {
					return crash(ctx)
				}
				reply, err := answers(10)(ctx)
				if isDown(name) {
					return RoutedReply{}, &AttemptError{Kind: FailureLost}
				}
				return reply, err
			}
			f.set(name, act)
		}
		var group sync.WaitGroup
		group.Go(func() {
			for f.since() < length {
				f.askAs("crashing")
				time.Sleep(crasherPause.Duration())
			}
		})
		asked, answered := 0, 0
		for f.since() < length {
			asked++
			if f.askAs("other").Outcome == OutcomeAnswered {
				answered++
			}
			time.Sleep(otherPause * time.Millisecond)
		}
		group.Wait()
		if most := 2 + MaxTrials; crashes > most {
			t.Errorf("%d upstreams crashed, want at most %d", crashes, most)
		}
		if 4*answered < 3*asked {
			t.Errorf("%d of %d requests of the other caller answered", answered, asked)
		}
		t.Logf("%d crashes, %d of %d answered", crashes, answered, asked)
	})
}

// TestTrialsOfTheOwnInterface guards against queries and orders that are refused for minutes because they
// ran on upstreams that crashed for another reason.
func TestTrialsOfTheOwnInterface(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		for _, kind := range []string{"wait", "order"} {
			t.Run(fmt.Sprintf("%s/crashes %t", kind, crashes), func(t *testing.T) {
				f, manual := newEngineFixture(), &manualClock{now: Minute}
				f.engine.Quarantine = NewQuarantine(manual.clock(), func(Fact) {})
				f.client.search = func(_ context.Context, _ Target, attempt SearchAttempt) (SearchReply, error) {
					if crashes {
						return fail(FailureLost)
					}
					return covered(attempt), nil
				}
				f.client.order = func(Target, OrderAttempt) (OrderReply, error) {
					if crashes {
						return OrderReply{}, &AttemptError{Kind: FailureLost}
					}
					return OrderReply{Status: liveStatus(1, 1, 2)}, nil
				}
				orders := NewOrders(f.engine, noPeers{}, anyAddress, Home{"n", 1}, "a", func(Fact) {})
				request := Request{ID: "r", Collection: "c", Kind: kind, Key: "k", Arrived: f.engine.Clock.Now()}
				ask := func() Answer {
					if kind == "order" {
						return orders.Run(context.Background(), orders.Mint(), request)
					}
					return f.engine.Query(context.Background(), request)
				}
				for range ConvictAfterCrashes {
					f.engine.Quarantine.RecordIsolatedCrash(request.Fingerprint())
				}
				if answer := ask(); answer.Reason != ReasonCrashesUpstreams || len(f.client.sentTo()) != 0 {
					t.Errorf("before the trial: %s (%s)", answer.Outcome, answer.Reason)
				}
				manual.now += 2 * TrialDelayMillis
				if answer := ask(); !crashes && answer.Outcome != OutcomeAnswered {
					t.Errorf("in the trial: %s (%s)", answer.Outcome, answer.Reason)
				}
				sent := len(f.client.sentTo())
				if crashes && sent != 1 {
					t.Errorf("the trial reached %d upstreams", sent)
				}
				if answer := ask(); (answer.Reason == ReasonCrashesUpstreams) != crashes {
					t.Errorf("after the trial: %s (%s)", answer.Outcome, answer.Reason)
				}
			})
		}
	}
}
