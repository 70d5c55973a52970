package core

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// behaviour is what an upstream of the tests does with an attempt.
type behaviour func(ctx context.Context) (RoutedReply, error)

// answers replies after the given time, unless the attempt ends before.
func answers(after Millis) behaviour {
	return func(ctx context.Context) (RoutedReply, error) {
		select {
		case <-time.After(after.Duration()):
			return RoutedReply{Status: 200, Signature: "signed", Body: []byte("0123456789abcdef")}, nil
		case <-ctx.Done():
			return RoutedReply{}, &AttemptError{Kind: FailureTimeout, Cause: ctx.Err()}
		}
	}
}

// hangs never replies.
func hangs() behaviour { return answers(Minute) }

// fails ends every attempt with a failure after the given time.
func fails(kind FailureKind, after Millis) behaviour {
	return func(context.Context) (RoutedReply, error) {
		time.Sleep(after.Duration())
		reply := RoutedReply{}
		if kind == FailureError {
			reply = RoutedReply{Status: 500, Signature: "signed"}
		}
		return reply, &AttemptError{Kind: kind}
	}
}

// sentAttempt is one attempt as an upstream got it.
type sentAttempt struct {
	upstream string
	at       Millis
	deadline Millis
	// cancelled is when the sender gave the attempt up, or zero.
	cancelled Millis
}

// routerFixture is a router over upstreams that behave as told. It runs inside a
// synctest bubble, where time passes only while all wait.
type routerFixture struct {
	clock   Clock
	fleet   *Fleet
	router  *Router
	lag     *LagMeter
	started Millis
	choice  fakeDelegates

	mu         sync.Mutex
	behaviours map[string]behaviour
	sent       []*sentAttempt
}

// Send implements RoutedClient.
func (f *routerFixture) Send(ctx context.Context, target Target, attempt RoutedAttempt) (RoutedReply, error) {
	record := &sentAttempt{upstream: target.Name, at: f.since(), deadline: attempt.Deadline - f.started}
	f.mu.Lock()
	f.sent = append(f.sent, record)
	act := f.behaviours[target.Name]
	f.mu.Unlock()
	reply, err := act(ctx)
	if ctx.Err() != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		record.cancelled = f.since()
	}
	return reply, err
}

func (f *routerFixture) since() Millis { return f.clock.Now() - f.started }

func (f *routerFixture) set(upstream string, act behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviours[upstream] = act
}

// sentTo returns the names of the upstreams that got attempts, in order.
func (f *routerFixture) sentTo() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, attempt := range f.sent {
		names = append(names, attempt.upstream)
	}
	return names
}

// newRouterFixture returns a router with the services s0, s1 and so on, each with
// the replicas sN-a in zone a, sN-b in zone b and so on. All answer after 10 ms.
func newRouterFixture(services, replicas int, route Route) *routerFixture {
	f := &routerFixture{behaviours: map[string]behaviour{}}
	f.clock = NewClockFrom(func() Millis { return Millis(time.Now().UnixMilli()) })
	f.started = f.clock.Now()
	f.fleet = NewFleet(f.clock, "a", Policy{}, func(Fact) {})
	f.lag = NewLagMeter(f.clock)
	configuration := Configuration{Version: 7, MaxInstances: 1, Routes: []Route{route}}
	for i := range services {
		service := Service{Name: fmt.Sprintf("s%d", i), Slots: 4, Connections: 16}
		for j := range replicas {
			zone := string(rune('a' + j))
			name := service.Name + "-" + zone
			f.behaviours[name] = answers(10)
			service.Upstreams = append(service.Upstreams, Upstream{Name: name, Address: name, Zone: zone})
		}
		configuration.Services = append(configuration.Services, service)
	}
	f.fleet.Apply(configuration)
	for _, target := range f.fleet.Targets() {
		f.fleet.ObserveListed(target.Name, 1, PhaseLive)
	}
	counters := NewCounters()
	store := NewStore(f.clock, fixtureDecoder{configuration: configuration}, counters)
	f.router = NewRouter(RouterParts{
		Clock: f.clock, Fleet: f.fleet, Client: f, Counters: counters, Log: logr.Discard(), Lag: f.lag,
		Allowance: NewAllowance(f.clock, AllowanceLimit{Ratio: 0.2, Slack: 80, Window: 10 * Second}, 1),
		Pause:     NewPauseGuard(f.clock, counters, func(context.Context) {}),

		Quarantine: NewQuarantine(f.clock, func(Fact) {}),

		Store: store, Choice: &f.choice, DelegateClient: &f.choice,
	})
	store.OnConfiguration(f.router.Apply)
	f.publish(configuration.Version)
	return f
}

// fixtureDecoder reads documents that are version numbers of one configuration.
type fixtureDecoder struct {
	Decoder
	configuration Configuration
}

func (d fixtureDecoder) Configuration(raw []byte) (Configuration, error) {
	version, err := strconv.ParseUint(string(raw), 10, 64)
	configuration := d.configuration
	configuration.Version, configuration.Raw = version, raw
	return configuration, err
}

// publish offers the configuration under a version.
func (f *routerFixture) publish(version uint64) {
	if _, err := f.router.Store.OfferConfiguration([]byte(strconv.FormatUint(version, 10)), "platform"); err != nil {
		panic(err)
	}
}

func (f *routerFixture) ask(ctx context.Context) RoutedAnswer {
	return f.router.Route(ctx, RoutedRequest{
		ID: "id", Arrived: f.clock.Now(), Message: Message{Method: "GET", Host: "h", Target: "/p/1?q"},
	})
}

// plainRoute has one service answer.
func plainRoute(idempotent bool, attempts int) Route {
	return Route{
		Name: "plain", Host: "h", PathPrefix: "/p/", Idempotent: idempotent, Timeout: Second, Objective: 100,
		MaxAttempts: attempts, Destinations: []Destination{{Service: "s0", Weight: 1}},
	}
}

// scatteredRoute has a number of shards answer.
func scatteredRoute(shards int, least float64) Route {
	route := Route{
		Name: "scattered", Host: "h", PathPrefix: "/p/", Idempotent: true, Timeout: Second, Objective: 100,
		MaxAttempts: 2, Top: 3, LeastCoverage: least,
	}
	for i := range shards {
		route.Shards = append(route.Shards, fmt.Sprintf("s%d", i))
	}
	return route
}

// inBubble runs a test in simulated time and lets its last attempts end.
func inBubble(t *testing.T, play func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		play(t)
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// TestPlainRequests covers which failures lead to another attempt, and what the
// caller may be told.
func TestPlainRequests(t *testing.T) {
	lost, shed, failed := fails(FailureLost, 5), fails(FailureNotRun, 1), fails(FailureError, 5)
	cases := []struct {
		name       string
		idempotent bool
		a, b       behaviour
		outcome    Outcome
		attempts   int
		status     int
	}{
		{"a sound upstream", true, answers(10), answers(10), OutcomeAnswered, 1, 200},
		{"a lost reply is asked for again", true, lost, answers(10), OutcomeAnswered, 2, 200},
		{"a lost reply to a request that may not be repeated is not", false, lost, answers(10), OutcomeUnknown, 1, 0},
		{"a bad reply to one is not either", false, fails(FailureBadReply, 5), answers(10), OutcomeUnknown, 1, 0},
		{"a paused upstream is hedged", true, answers(120), answers(10), OutcomeAnswered, 2, 200},
		{"a paused upstream with a request that may not be repeated is waited for", false, answers(120), answers(10), OutcomeAnswered, 1, 200},
		{"a refusal is taken elsewhere, whatever the kind", false, shed, answers(10), OutcomeAnswered, 2, 200},
		{"another upstream at the address is no run", false, fails(FailureMisdirected, 1), answers(10), OutcomeAnswered, 2, 200},
		{"no room anywhere is not run", false, shed, shed, OutcomeNotRun, 4, 0},
		{"an upstream out of reach is no arrival", false, fails(FailureNotSent, 1), answers(10), OutcomeAnswered, 1, 200},
		{"nothing in reach is not run", false, fails(FailureNotSent, 1), fails(FailureNotSent, 1), OutcomeNotRun, 0, 0},
		{"a refusal after a run that was lost proves nothing", true, lost, shed, OutcomeUnknown, 4, 0},
		{"an upstream's failure is passed on", false, failed, answers(10), OutcomeAnswered, 1, 500},
		{"an upstream's failure is tried elsewhere where it may be", true, failed, answers(10), OutcomeAnswered, 2, 200},
		{"the last failure is passed on", true, failed, failed, OutcomeAnswered, 2, 500},
		{"silence ends at the deadline", false, hangs(), answers(10), OutcomeUnknown, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(1, 2, plainRoute(tc.idempotent, 2))
				f.set("s0-a", tc.a)
				f.set("s0-b", tc.b)
				answer := f.ask(context.Background())
				reply, _ := answer.Reply.Get()
				if answer.Outcome != tc.outcome || answer.Attempts != tc.attempts || reply.Status != tc.status {
					t.Errorf("got %s, %d attempts, status %d; want %s, %d, %d (%s)",
						answer.Outcome, answer.Attempts, reply.Status, tc.outcome, tc.attempts, tc.status, answer.Detail)
				}
				if limit := Second - ReplyMarginMillis; f.since() > limit {
					t.Errorf("answered after %d ms, the timeout leaves %d", f.since(), limit)
				}
			})
		})
	}
}

// TestRunsKeepToTheRoute covers a request that fails wherever it runs.
func TestRunsKeepToTheRoute(t *testing.T) {
	for _, attempts := range []int{1, 2, 3} {
		inBubble(t, func(t *testing.T) {
			f := newRouterFixture(1, 4, plainRoute(true, attempts))
			for _, name := range []string{"s0-a", "s0-b", "s0-c", "s0-d"} {
				f.set(name, fails(FailureLost, 5))
			}
			if answer := f.ask(context.Background()); answer.Outcome != OutcomeUnknown {
				t.Errorf("outcome %s", answer.Outcome)
			}
			if sent := f.sentTo(); len(sent) != attempts {
				t.Errorf("%d attempts allowed, sent to %v", attempts, sent)
			}
		})
	}
}

// TestPausedReplicas covers the load that stragglers make: in each query some
// shards meet a replica that pauses. All answer in time through the other one.
func TestPausedReplicas(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(20, 2, scatteredRoute(20, 0.89))
		for _, paused := range []string{"s3-a", "s7-a", "s11-a"} {
			f.set(paused, answers(130))
		}
		answer := f.ask(context.Background())
		merged, _ := answer.Merged.Get()
		if merged.Missing != 0 || len(merged.Signatures) != 20 {
			t.Errorf("%d shards missing", merged.Missing)
		}
		if f.since() > 50 {
			t.Errorf("answered after %d ms", f.since())
		}
	})
}

// TestMissingShards covers when an answer does without shards, and when it is
// given up.
func TestMissingShards(t *testing.T) {
	cases := []struct {
		name    string
		stuck   int
		act     behaviour
		missing int
		outcome Outcome
		least   Millis
		most    Millis
	}{
		{"none", 0, nil, 0, OutcomeAnswered, 0, 15},
		{"few hang: closed shortly before the objective", 2, hangs(), 2, OutcomeAnswered, 80, 90},
		{"few fail at once: no reason to wait", 2, fails(FailureLost, 1), 2, OutcomeAnswered, 0, 40},
		{"too many fail at once: no reason to wait", 3, fails(FailureLost, 1), 0, OutcomeUnknown, 0, 40},
		{"too many are late: the answer is given as soon as it can be", 3, answers(150), 2, OutcomeAnswered, 140, 175},
		{"too many hang: given up once nobody is heard", 3, hangs(), 0, OutcomeUnknown, 150, 260},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(20, 2, scatteredRoute(20, 0.89))
				for i := range tc.stuck {
					f.set(fmt.Sprintf("s%d-a", i), tc.act)
					f.set(fmt.Sprintf("s%d-b", i), tc.act)
				}
				answer := f.ask(context.Background())
				merged, _ := answer.Merged.Get()
				if answer.Outcome != tc.outcome || merged.Missing > tc.missing {
					t.Errorf("outcome %s, %d missing (%s)", answer.Outcome, merged.Missing, answer.Detail)
				}
				if at := f.since(); at < tc.least || at > tc.most {
					t.Errorf("answered after %d ms, want %d to %d", at, tc.least, tc.most)
				}
			})
		})
	}
}

// TestUpstreamsThatLoseAnswers covers the load when upstreams of many shards lose single
// answers by resets: they stay in use, so that their siblings are not overrun, until a
// probe or another attempt finds that they are gone.
func TestUpstreamsThatLoseAnswers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const shards = 10
		f := newRouterFixture(shards, 2, scatteredRoute(shards, 0.89))
		lose := func(act behaviour) {
			for i := range shards {
				f.set(fmt.Sprintf("s%d-a", i), act)
			}
		}
		lose(fails(FailureLost, 5))
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeAnswered {
			t.Errorf("%s (%s)", answer.Outcome, answer.Detail)
		}
		lose(answers(10))
		if suspects := f.fleet.Suspects(); len(suspects) != shards {
			t.Errorf("%d of %d are probed", len(suspects), shards)
		}
		f.sent = nil
		f.ask(context.Background())
		for _, name := range f.sentTo() {
			if strings.HasSuffix(name, "-b") {
				t.Errorf("sent to %s, whose sibling lost one answer", name)
			}
		}
		lose(fails(FailureLost, 5))
		f.ask(context.Background())
		for i := range shards {
			f.fleet.ProbeFailed(fmt.Sprintf("s%d-a", i))
		}
		f.sent = nil
		f.ask(context.Background())
		for _, name := range f.sentTo() {
			if strings.HasSuffix(name, "-a") {
				t.Errorf("sent to %s, which a probe did not reach", name)
			}
		}
	})
}

// TestNothingIsSentAfterTheAnswer covers the load of an instance that is behind: the
// answer is closed before the tasks of some shards have begun.
func TestNothingIsSentAfterTheAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 2, scatteredRoute(1, 1))
		closed, cancel := context.WithCancel(context.Background())
		cancel()
		d := &dispatch{
			router: f.router, route: scatteredRoute(1, 1), request: RoutedRequest{Arrived: f.clock.Now()}, service: "s0",
			deadline: f.clock.Now() + Second, patience: f.clock.Now() + 100, work: context.Background(),
		}
		_, failure := d.run(closed)
		synctest.Wait()
		if failure == nil || len(f.sentTo()) > 0 {
			t.Errorf("sent to %v", f.sentTo())
		}
	})
}

// TestUnreachableShardsAreRefusedAtOnce covers a zone without shards of its own
// that is cut off: the first callers wait until that is known, all later ones are
// told at once that nothing ran, until probes reach the upstreams again.
func TestUnreachableShardsAreRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(20, 2, scatteredRoute(20, 0.89))
		for i := range 20 {
			f.set(fmt.Sprintf("s%d-a", i), hangs())
			f.set(fmt.Sprintf("s%d-b", i), hangs())
		}
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeUnknown {
			t.Errorf("the first answer is %s", answer.Outcome)
		}
		if f.since() > SilentAfterMillis+TimerSlackMillis {
			t.Errorf("the first caller waited %d ms", f.since())
		}
		if f.router.Serviceable() {
			t.Error("more callers are let in")
		}
		sent := len(f.sentTo())
		before := f.since()
		answer := f.ask(context.Background())
		if answer.Outcome != OutcomeNotRun || answer.RetryAfter == 0 || !answer.MoveOn || f.since() != before {
			t.Errorf("got %+v after %d ms", answer, f.since()-before)
		}
		if len(f.sentTo()) != sent {
			t.Error("a request that is refused as not run was sent")
		}
		for i := range 20 {
			f.set(fmt.Sprintf("s%d-a", i), answers(10))
			f.fleet.Observe(fmt.Sprintf("s%d-a", i), UpstreamStatus{Incarnation: 1, Phase: PhaseLive})
		}
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeAnswered || !f.router.Serviceable() {
			t.Errorf("after the cut: %+v", answer)
		}
	})
}

// TestASilentZoneIsNoticedByItsNumber covers a cut of the zone with the preferred
// replicas: many late attempts with nothing heard take all of it out of use, before
// each of them has been silent for long.
func TestASilentZoneIsNoticedByItsNumber(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(20, 2, scatteredRoute(20, 0.89))
		time.Sleep(time.Second)
		for i := range 20 {
			f.set(fmt.Sprintf("s%d-a", i), hangs())
		}
		started := f.since()
		f.ask(context.Background())
		time.Sleep((started + ZoneSilentMillis - f.since()).Duration())
		f.fleet.CheckZones()
		f.mu.Lock()
		f.sent = nil
		f.mu.Unlock()
		started = f.since()
		answer := f.ask(context.Background())
		merged, _ := answer.Merged.Get()
		if merged.Missing != 0 || f.since()-started > 15 {
			t.Errorf("%d missing after %d ms", merged.Missing, f.since()-started)
		}
		for _, name := range f.sentTo() {
			if strings.HasSuffix(name, "-a") {
				t.Errorf("sent to %s in the silent zone", name)
			}
		}
	})
}

// TestASlowInstanceTakesNoZoneForSilent covers an instance on a narrow link: all
// replies to a wide query come late, but they come.
func TestASlowInstanceTakesNoZoneForSilent(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(20, 1, scatteredRoute(20, 0.89))
		for i := range 20 {
			f.set(fmt.Sprintf("s%d-a", i), answers(70))
		}
		for range 3 {
			go func() {
				time.Sleep(60 * time.Millisecond)
				f.fleet.CheckZones()
			}()
			f.ask(context.Background())
			f.fleet.CheckZones()
		}
		if got := f.fleet.ReachableServices(scatteredRoute(20, 1).Shards); got != 20 {
			t.Errorf("%d of 20 shards count as reachable", got)
		}
	})
}

// TestHedgesKeepToTheAllowance covers a day on which all replicas are slow: the
// repeats stop where the allowance ends, and the first attempts go on.
func TestHedgesKeepToTheAllowance(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 3, scatteredRoute(1, 1))
		for _, name := range []string{"s0-a", "s0-b", "s0-c"} {
			f.set(name, answers(80))
		}
		const requests = 300
		for range requests {
			f.ask(context.Background())
		}
		repeats := len(f.sentTo()) - requests
		// 300 requests take 24 s: two windows and a half, each with its part of the slack.
		const windows = 3
		if allowed := 0.2*requests + windows*80*slackPart; float64(repeats) > allowed || repeats == 0 {
			t.Errorf("%d repeats, %.0f allowed", repeats, allowed)
		}
	})
}

// TestAnInstanceThatIsBehindRefusesEarly covers a slow machine: its callers are
// sent elsewhere instead of waiting for it.
func TestAnInstanceThatIsBehindRefusesEarly(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(3, 2, scatteredRoute(3, 0.5))
		for range 5 {
			f.lag.Observe(80)
		}
		answer := f.ask(context.Background())
		if answer.Outcome != OutcomeNotRun || !answer.MoveOn || len(f.sentTo()) != 0 {
			t.Errorf("got %+v", answer)
		}
		for range 5 {
			f.lag.Observe(0)
		}
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeAnswered || !answer.MoveOn {
			t.Errorf("got %+v; callers had better move on a while longer", answer)
		}
		time.Sleep(OverloadHoldMillis.Duration())
		if answer := f.ask(context.Background()); answer.MoveOn {
			t.Error("callers are sent away though the instance keeps up")
		}
	})
}

// TestSilenceIsNotConcludedFromLateTimers covers the same machine: replies that it
// has not read yet are no silence of its upstreams. In the bubble timers are never
// late, so the guard itself is asked.
func TestSilenceIsNotConcludedFromLateTimers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 1, plainRoute(true, 1))
		permit, err := f.fleet.Acquire(context.Background(), Want{Service: "s0"})
		if err != nil {
			t.Fatal(err)
		}
		f.fleet.Observe("s0-a", UpstreamStatus{Incarnation: 1, Phase: PhaseLive})
		time.Sleep(SilentAfterMillis.Duration())
		f.fleet.Observe("s0-a", UpstreamStatus{Incarnation: 1, Phase: PhaseLive})
		permit.Silent()
		if f.fleet.ReachableServices([]string{"s0"}) != 1 {
			t.Error("an upstream that was heard meanwhile is out of use")
		}
		permit.Release()
	})
}

// TestCallersThatLeave covers callers that give up: their attempts end at once.
// Those of callers that were answered may go on for a while, so that their
// connections can be kept.
func TestCallersThatLeave(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(4, 1, scatteredRoute(4, 0.5))
		for i := range 4 {
			f.set(fmt.Sprintf("s%d-a", i), hangs())
		}
		ctx, leave := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer leave()
		if answer := f.ask(ctx); answer.Outcome != OutcomeUnknown || answer.Reason != ReasonCallerLeft {
			t.Errorf("%s, reason %s", answer.Outcome, answer.Reason)
		}
		synctest.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, attempt := range f.sent {
			if attempt.cancelled != 30 {
				t.Errorf("attempt at %s was given up at %d ms", attempt.upstream, attempt.cancelled)
			}
		}
	})
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(4, 1, scatteredRoute(4, 0.5))
		f.set("s0-a", hangs())
		f.ask(context.Background())
		answered := f.since()
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		index := slices.IndexFunc(f.sent, func(a *sentAttempt) bool { return a.upstream == "s0-a" })
		if at := f.sent[index].cancelled; at != answered+LoserGraceMillis {
			t.Errorf("answered at %d ms, the late attempt was given up at %d ms", answered, at)
		}
	})
}

// TestAttemptsEndWithTheDeadline covers upstreams that go on sending: what may go on after
// an answer does not go on after the deadline.
func TestAttemptsEndWithTheDeadline(t *testing.T) {
	for _, coverage := range []float64{0.5, 1} {
		inBubble(t, func(t *testing.T) {
			f := newRouterFixture(4, 1, scatteredRoute(4, coverage))
			f.set("s0-a", hangs())
			f.router.Route(context.Background(), RoutedRequest{
				ID: "id", Arrived: f.clock.Now(), Deadline: f.clock.Now() + 200,
				Message: Message{Method: "GET", Host: "h", Target: "/p/1"},
			})
			time.Sleep(time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			index := slices.IndexFunc(f.sent, func(a *sentAttempt) bool { return a.upstream == "s0-a" })
			if at := f.sent[index].cancelled; at == 0 || at > 200 {
				t.Errorf("coverage %.1f: the attempt was given up at %d ms", coverage, at)
			}
		})
	}
}

// TestDeadlinesArePassedOn covers that no attempt gets more time than the caller
// and the route leave.
func TestDeadlinesArePassedOn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 2, plainRoute(true, 2))
		f.set("s0-a", fails(FailureLost, 200))
		f.router.Route(context.Background(), RoutedRequest{
			ID: "id", Arrived: f.clock.Now(), Deadline: f.clock.Now() + 400,
			Message: Message{Host: "h", Target: "/p/"},
		})
		f.ask(context.Background())
		f.mu.Lock()
		defer f.mu.Unlock()
		want := []Millis{400, 400}
		for i, limit := range want {
			if got := f.sent[i].deadline; got > limit {
				t.Errorf("attempt %d may take until %d ms, the caller leaves %d", i, got, limit)
			}
		}
	})
}

// TestALaggingInstancePassesOnLessTime covers a request that waited to be read: the
// caller's time began before it was.
func TestALaggingInstancePassesOnLessTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		route := plainRoute(true, 1)
		route.Objective = 400
		f := newRouterFixture(1, 1, route)
		for range 20 {
			f.lag.Observe(50)
		}
		f.ask(context.Background())
		f.mu.Lock()
		defer f.mu.Unlock()
		if got, limit := f.sent[0].deadline, Second-ReplyMarginMillis-49; got > limit {
			t.Errorf("passed on %d ms, %d are left", got, limit)
		}
	})
}

// TestRequestsKeepToTheirConfiguration covers repartitioning: a request is answered
// by the shards of the version that it started with, never by a mixture.
func TestRequestsKeepToTheirConfiguration(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(4, 1, scatteredRoute(2, 0.5))
		f.set("s1-a", answers(40))
		next := scatteredRoute(2, 0.5)
		next.Shards = []string{"s2", "s3"}
		go func() {
			time.Sleep(20 * time.Millisecond)
			f.router.Apply(Configuration{Version: 8, Routes: []Route{next}})
		}()
		answer := f.ask(context.Background())
		merged, _ := answer.Merged.Get()
		if answer.ConfigurationVersion != 7 || merged.Missing != 0 {
			t.Errorf("version %d, %d missing", answer.ConfigurationVersion, merged.Missing)
		}
		answer = f.ask(context.Background())
		if answer.ConfigurationVersion != 8 {
			t.Errorf("the next request is answered under version %d", answer.ConfigurationVersion)
		}
		if got := f.sentTo(); !slices.Equal(got[len(got)-2:], []string{"s2-a", "s3-a"}) && !slices.Equal(got[len(got)-2:], []string{"s3-a", "s2-a"}) {
			t.Errorf("sent to %v", got)
		}
	})
}

// TestLeavingUpstreamsGetNothing covers draining, by the list and by the address.
func TestLeavingUpstreamsGetNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 2, plainRoute(true, 2))
		f.fleet.ObserveListed("s0-a", 1, PhaseLeaving)
		for range 5 {
			f.ask(context.Background())
		}
		f.set("s0-b", fails(FailureMisdirected, 1))
		f.ask(context.Background())
		answer := f.ask(context.Background())
		if answer.Outcome != OutcomeNotRun || answer.Reason != ReasonNoUpstream {
			t.Errorf("got %+v", answer)
		}
		if got := f.sentTo(); slices.Contains(got, "s0-a") || len(got) != 6 {
			t.Errorf("sent to %v", got)
		}
	})
}

// TestNoRoomIsToldEarly covers full upstreams: a request that may go to one of them
// only is refused long before its deadline, as not run.
func TestNoRoomIsToldEarly(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 1, plainRoute(false, 1))
		f.set("s0-a", answers(600))
		var waiting sync.WaitGroup
		for range 4 {
			waiting.Go(func() { f.ask(context.Background()) })
		}
		synctest.Wait()
		answer := f.ask(context.Background())
		if answer.Outcome != OutcomeNotRun || answer.Reason != ReasonOverloaded || f.since() > 25 {
			t.Errorf("got %s, %s after %d ms", answer.Outcome, answer.Reason, f.since())
		}
		waiting.Wait()
	})
}

// TestUnknownRoutes covers what is answered without a route.
func TestUnknownRoutes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 1, plainRoute(true, 1))
		answer := f.router.Route(context.Background(), RoutedRequest{ID: "id", Message: Message{Host: "h", Target: "/q/"}})
		if answer.Reason != ReasonUnknownRoute || answer.ConfigurationVersion != 7 {
			t.Errorf("got %+v", answer)
		}
		empty := NewRouter(f.router.RouterParts)
		if answer := empty.Route(context.Background(), RoutedRequest{ID: "id"}); answer.Reason != ReasonNotReady {
			t.Errorf("without a configuration: %+v", answer)
		}
	})
}
