package core

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// leavingSignals are the signals of an upstream that is leaving.
var leavingSignals = UpstreamSignals{Leaving: true}

// TestLeavingSignal guards against requests to an upstream that has said in a response that it is
// leaving, although the store is away or the list is older than the response.
func TestLeavingSignal(t *testing.T) {
	Convey("Given a fleet of two live replicas", t, func() {
		f := newFleetFixture(2)
		toU0 := Want{NoWait: true, Exclude: NewSet("u1")}
		gone := func() {
			_, err := f.acquire(toU0)
			So(err, ShouldEqual, ErrNoReplica)
		}
		leave := func() {
			permit, err := f.acquire(toU0)
			So(err, ShouldBeNil)
			permit.RecordSignals(leavingSignals)
			permit.Complete()
		}
		Convey("the instance that got the response sends nothing more, and tells the others, once", func() {
			leave()
			f.fleet.RecordSignals("u0", 1, leavingSignals, f.clock.now)
			gone()
			So(f.facts, ShouldResemble, []Fact{NewLeavingFact("u0", 1)})
		})
		Convey("a request that waits for a connection meanwhile is not sent", func() {
			permit, err := f.acquire(toU0)
			So(err, ShouldBeNil)
			confirm := permit.confirm(NewPauseGuard(f.clock.clock(), NewCounters(), func(context.Context) {}))
			So(confirm(context.Background()), ShouldBeNil)
			f.fleet.RecordSignals("u0", 1, leavingSignals, f.clock.now)
			So(confirm(context.Background()), ShouldEqual, ErrNotSendable)
		})
		Convey("a request that waits for capacity gets none of a leaving upstream", func() {
			busy := []*Permit{}
			for range 2 {
				permit, err := f.acquire(toU0)
				So(err, ShouldBeNil)
				busy = append(busy, permit)
			}
			result := make(chan error)
			go func() {
				_, err := f.fleet.Acquire(context.Background(), Want{Service: "s", Exclude: NewSet("u1")})
				result <- err
			}()
			for waiting := false; !waiting; {
				time.Sleep(time.Millisecond)
				f.fleet.mu.Lock()
				waiting = len(f.fleet.services["s"].waiters) > 0
				f.fleet.mu.Unlock()
			}
			busy[0].RecordSignals(leavingSignals)
			busy[0].Complete()
			So(<-result, ShouldEqual, ErrNoReplica)
		})
		Convey("a list that says ready does not undo it", func() {
			leave()
			f.fleet.ObserveListed("u0", 1, PhaseLive)
			gone()
		})
		Convey("a list without the upstream and then one with it do not undo it", func() {
			leave()
			configuration := singleServiceConfiguration(2, 2, 24, 12)
			without := configuration
			without.Services = []Service{configuration.Services[0]}
			without.Services[0].Upstreams = configuration.Services[0].Upstreams[1:]
			f.fleet.Apply(without)
			f.clock.now += 3 * Minute
			f.fleet.Apply(configuration)
			f.fleet.ObserveListed("u0", 1, PhaseLive)
			gone()
		})
		Convey("a probe that succeeds does not undo it", func() {
			leave()
			f.fleet.Observe("u0", liveStatus(1, 1))
			gone()
		})
		Convey("a later incarnation undoes it, and a late response of the earlier one changes nothing then", func() {
			permit, err := f.acquire(toU0)
			So(err, ShouldBeNil)
			leave()
			f.fleet.ObserveListed("u0", 2, PhaseLive)
			permit.RecordSignals(leavingSignals)
			again, err := f.acquire(toU0)
			So(err, ShouldBeNil)
			So(again.Target().Incarnation, ShouldEqual, 2)
		})
		Convey("a fact from before the list is known is remembered", func() {
			fresh := NewFleet(f.clock.clock(), "z0", Policy{}, func(Fact) {})
			fresh.MarkLeaving("u0", 1, "peer")
			fresh.Apply(singleServiceConfiguration(2, 2, 24, 12))
			fresh.ObserveListed("u0", 1, PhaseLive)
			fresh.ObserveListed("u1", 1, PhaseLive)
			_, err := fresh.Acquire(context.Background(), Want{Service: "s", NoWait: true, Exclude: NewSet("u1")})
			So(err, ShouldEqual, ErrNoReplica)
		})
	})
}

// TestPauses covers how pauses begin, end and are lengthened. It guards against a response that ends
// a pause, and against a pause without end.
func TestPauses(t *testing.T) {
	Convey("Given a fleet of two live replicas, one of them paused for 2 s", t, func() {
		f := newFleetFixture(2)
		var changes []PauseChange
		f.fleet.OnPauseChange(func(change PauseChange) { changes = append(changes, change) })
		pause := func(length Millis) { f.fleet.RecordSignals("u0", 1, UpstreamSignals{Pause: length}, f.clock.now) }
		toU0 := Want{NoWait: true, Exclude: NewSet("u1")}
		free := func() bool {
			permit, err := f.acquire(toU0)
			if err == nil {
				permit.Release()
			}
			return err == nil
		}
		before, err := f.acquire(toU0)
		So(err, ShouldBeNil)
		pause(2 * Second)
		before.Release()
		Convey("it gets no request until the end, and others do", func() {
			So(free(), ShouldBeFalse)
			permit, err := f.acquire(Want{NoWait: true})
			So(err, ShouldBeNil)
			So(permit.Target().Name, ShouldEqual, "u1")
			f.clock.now += 2 * Second
			So(free(), ShouldBeTrue)
		})
		Convey("a permit from before is not used", func() {
			So(before.Sendable(), ShouldBeFalse)
		})
		Convey("a shorter one does not shorten it, nor does a response without one", func() {
			f.clock.now += Second
			pause(500)
			f.fleet.RecordSignals("u0", 1, UpstreamSignals{}, f.clock.now)
			f.clock.now += 900
			So(free(), ShouldBeFalse)
		})
		Convey("a longer one lengthens it", func() {
			f.clock.now += Second
			pause(2 * Second)
			f.clock.now += 1900
			So(free(), ShouldBeFalse)
			f.clock.now += 100
			So(free(), ShouldBeTrue)
		})
		Convey("it lasts a minute at most", func() {
			pause(Hour)
			f.clock.now += Minute - 1
			So(free(), ShouldBeFalse)
			f.clock.now++
			So(free(), ShouldBeTrue)
		})
		Convey("it holds if the upstream is missing from the list for a moment", func() {
			configuration := singleServiceConfiguration(2, 2, 24, 12)
			f.fleet.Apply(Configuration{Version: 2, Services: []Service{{Name: "s"}}})
			f.fleet.Apply(configuration)
			f.fleet.ObserveListed("u0", 1, PhaseLive)
			So(free(), ShouldBeFalse)
		})
		Convey("no probe is sent, and it is not explored", func() {
			So(f.fleet.AdmitProbe("u0"), ShouldBeFalse)
			pause(Minute)
			f.clock.now += ExploreIntervalMillis + 1
			So(f.fleet.Explore(Want{Service: "s", Exclude: NewSet("u1")}), ShouldBeNil)
		})
		Convey("no tokens are requested for it", func() {
			f.fleet.ApplyLimit(Fact{Subject: "u0", Stamp: 1, Incarnation: 1, Limited: true, LimitPerSecond: 4})
			So(free(), ShouldBeFalse)
			So(f.fleet.TakeTokenWants(func(string) bool { return true }), ShouldBeEmpty)
		})
		Convey("the beginning and the end are reported once", func() {
			pause(2 * Second)
			f.clock.now += 2 * Second
			f.fleet.endPause("u0")
			So(changes, ShouldResemble, []PauseChange{{Name: "u0", Service: "s", Pause: 2 * Second}, {Name: "u0", Service: "s"}})
		})
		Convey("the load returns gradually", func() {
			r := f.fleet.replicas["u0"]
			r.share, r.limit = 8, 8
			f.clock.now += 2 * Second
			So(r.rampedCapacity(f.clock.now), ShouldEqual, 2)
			So(r.rampedCapacity(f.clock.now+SlowStartMillis), ShouldEqual, 8)
		})
		Convey("refusals with the pause do not keep it from returning afterwards", func() {
			f.clock.now += 2 * Second
			var refused []*Permit
			for _, name := range []string{"u0", "u1"} {
				f.fleet.replicas[name].latency = 10
			}
			f.fleet.replicas["u0"].limit = 2
			f.clock.now += SlowStartMillis
			for range 2 {
				permit, err := f.acquire(toU0)
				So(err, ShouldBeNil)
				refused = append(refused, permit)
			}
			for _, permit := range refused {
				permit.RecordSignals(UpstreamSignals{Pause: Second})
				permit.Fail(&AttemptError{Kind: FailureNotRun})
			}
			f.clock.now += Second + SlowStartMillis
			permit, err := f.acquire(Want{NoWait: true})
			So(err, ShouldBeNil)
			So(permit.Target().Name, ShouldEqual, "u0")
		})
		Convey("requests are rejected with the earliest end if all are paused", func() {
			f.fleet.RecordSignals("u1", 1, UpstreamSignals{Pause: 3 * Second}, f.clock.now)
			_, err := f.acquire(Want{WaitUntil: f.clock.now + 80})
			So(err, ShouldResemble, &LimitedError{Wait: 2 * Second, Paused: true})
		})
		Convey("a restarted instance learns of it from one response", func() {
			fresh := NewFleet(f.clock.clock(), "z0", Policy{}, func(Fact) {})
			fresh.Apply(singleServiceConfiguration(1, 2, 24, 12))
			fresh.ObserveListed("u0", 1, PhaseLive)
			permit, err := fresh.Acquire(context.Background(), Want{Service: "s", NoWait: true})
			So(err, ShouldBeNil)
			permit.RecordSignals(UpstreamSignals{Pause: Second})
			permit.Fail(&AttemptError{Kind: FailureNotRun})
			_, err = fresh.Acquire(context.Background(), Want{Service: "s", NoWait: true})
			So(err, ShouldEqual, ErrNoReplica)
		})
	})
}

// requestsPause refuses with a pause after the given time.
func requestsPause(pause, after Millis) behaviour {
	return func(context.Context) (RoutedReply, error) {
		time.Sleep(after.Duration())
		return RoutedReply{Status: 503, Signals: UpstreamSignals{Pause: pause}}, &AttemptError{Kind: FailureNotRun}
	}
}

// sentDuring returns how many attempts an upstream got between two times.
func (f *routerFixture) sentDuring(upstream string, from, to Millis) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, attempt := range f.sent {
		if attempt.upstream == upstream && attempt.at >= from && attempt.at < to {
			count++
		}
	}
	return count
}

// TestPauseOfRequests guards against ways of sending that pass over a pause: first attempts, retries,
// hedges, requests in the queue, and work for other instances. s0-a refuses with a pause of 5 s what it
// gets between 0.1 and 0.2 s.
func TestPauseOfRequests(t *testing.T) {
	scattered := scatteredRoute(1, 1)
	delegated := func(f *routerFixture) DelegatedRequest {
		return DelegatedRequest{ConfigurationVersion: 7, Remaining: Second, Request: RoutedRequest{
			ID: "id", Message: Message{Method: "GET", Host: "h", Target: "/p/1?q"}}}
	}
	ways := []struct {
		name  string
		route Route
		other behaviour
		send  func(f *routerFixture)
	}{
		{"first attempts", plainRoute(true, 2), answers(10), func(f *routerFixture) { f.ask(context.Background()) }},
		{"retries of refused requests", plainRoute(false, 2), fails(FailureNotRun, 1), func(f *routerFixture) { f.ask(context.Background()) }},
		{"retries of lost replies", plainRoute(true, 2), fails(FailureLost, 5), func(f *routerFixture) { f.ask(context.Background()) }},
		{"hedges", plainRoute(true, 2), answers(150), func(f *routerFixture) { f.ask(context.Background()) }},
		{"requests in the queue", plainRoute(true, 2), answers(150), func(f *routerFixture) {
			for range 8 {
				go f.ask(context.Background())
			}
		}},
		{"shards", scattered, answers(10), func(f *routerFixture) { f.ask(context.Background()) }},
		{"delegated requests", plainRoute(true, 2), answers(10), func(f *routerFixture) {
			f.router.AnswerDelegated(context.Background(), delegated(f))
		}},
		{"groups", scattered, answers(10), func(f *routerFixture) {
			_ = f.router.AnswerGroup(context.Background(), GroupRequest{DelegatedRequest: delegated(f), Shards: []int{0}},
				func(GroupReport) error { return nil })
		}},
	}
	for _, tc := range ways {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(1, 2, tc.route)
				f.set("s0-b", tc.other)
				// refused is the time of the last response that asks for a pause.
				var refusedAt atomic.Int64
				f.set("s0-a", func(ctx context.Context) (RoutedReply, error) {
					if now := f.since(); now >= 100 && now < 200 {
						refusedAt.Store(int64(f.since() + 1))
						return requestsPause(5*Second, 1)(ctx)
					}
					return answers(10)(ctx)
				})
				for f.since() < 8*Second {
					go tc.send(f)
					time.Sleep(20 * time.Millisecond)
				}
				refused := Millis(refusedAt.Load())
				if got := f.sentDuring("s0-a", refused+500, refused+5*Second); got > 2 {
					t.Errorf("%d requests during the pause, at most 2 may arrive", got)
				}
				if f.sentDuring("s0-a", refused+5*Second, refused+5*Second+SlowStartMillis) == 0 {
					t.Error("no request within the time of a slow start after the pause")
				}
			})
		})
	}
}

// TestAllUpstreamsPaused guards against requests that wait for a pause to end, and against rejections
// that call for a retry before it does. This holds also for the request that is refused with the pause.
func TestAllUpstreamsPaused(t *testing.T) {
	for name, route := range map[string]Route{"one destination": plainRoute(false, 2), "shards": scatteredRoute(1, 1)} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(1, 2, route)
				f.set("s0-a", requestsPause(5*Second, 1))
				f.set("s0-b", requestsPause(8*Second, 1))
				for f.since() < 4*Second {
					started := f.since()
					answer := f.ask(context.Background())
					if answer.Outcome != OutcomeNotRun || answer.Reason != ReasonOverloaded {
						t.Fatalf("outcome %s, reason %s", answer.Outcome, answer.Reason)
					}
					end := f.since() + answer.RetryAfter
					if end < 5000 || end > 5020+SlowStartMillis {
						t.Errorf("at %d ms: a retry is called for at %d ms, the first pause ends at 5 s", started, end)
					}
					if took := f.since() - started; took > 10 {
						t.Errorf("a rejection took %d ms", took)
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		})
	}
}

// pausingProbeClient answers each probe with a refusal that asks for a pause.
type pausingProbeClient struct {
	ProbeClient
	probes int
}

func (p *pausingProbeClient) Probe(context.Context, Target) (UpstreamStatus, error) {
	p.probes++
	status := UpstreamStatus{Signals: UpstreamSignals{Pause: 5 * Second}}
	return UpstreamStatus{}, &AttemptError{Kind: FailureError, Status: Some(status), Cause: errors.New("503")}
}

// TestPauseOfProbes guards against health checks during a pause, which may also begin with the response
// to one.
func TestPauseOfProbes(t *testing.T) {
	f := newFleetFixture(1)
	client := &pausingProbeClient{}
	prober := NewProber(f.clock.clock(), f.fleet, client)
	for range 20 {
		prober.ProbeAll(context.Background())
		f.clock.now += 250
	}
	if client.probes != 1 {
		t.Errorf("%d probes in a pause of 5 s, want the first one only", client.probes)
	}
}
