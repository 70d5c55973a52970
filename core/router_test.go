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

// behaviour is how a test upstream handles an attempt.
type behaviour func(ctx context.Context) (RoutedReply, error)

// answers replies after the given time, unless the attempt is cancelled before.
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

// hangs replies only after all deadlines of a test have passed.
func hangs() behaviour { return answers(Minute) }

// fails returns a failure of the given kind after the given time.
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

// sentAttempt records one attempt that an upstream received. Times are relative to the
// start of the fixture.
type sentAttempt struct {
	upstream string
	at       Millis
	deadline Millis
	// cancelled is when the sender cancelled the attempt, or zero.
	cancelled Millis
}

// routerFixture is a Router with scripted upstreams. It must be used in a synctest bubble,
// where time advances only while all goroutines are blocked.
type routerFixture struct {
	clock      Clock
	fleet      *Fleet
	router     *Router
	lag        *LagMeter
	started    Millis
	delegation fakeDelegates

	mu         sync.Mutex
	behaviours map[string]behaviour
	sent       []*sentAttempt
}

// Send implements RoutedClient.
func (f *routerFixture) Send(ctx context.Context, target Target, attempt RoutedAttempt) (RoutedReply, error) {
	record := &sentAttempt{upstream: target.Name, at: f.since(), deadline: attempt.Deadline - f.started}
	f.mu.Lock()
	f.sent = append(f.sent, record)
	behave := f.behaviours[target.Name]
	f.mu.Unlock()
	reply, err := behave(ctx)
	if ctx.Err() != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		record.cancelled = f.since()
	}
	return reply, err
}

// since returns the time since the start of the fixture.
func (f *routerFixture) since() Millis { return f.clock.Now() - f.started }

// set changes the behaviour of an upstream.
func (f *routerFixture) set(upstream string, behave behaviour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviours[upstream] = behave
}

// sentTo returns the names of the upstreams that received attempts, in order.
func (f *routerFixture) sentTo() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, attempt := range f.sent {
		names = append(names, attempt.upstream)
	}
	return names
}

// newRouterFixture returns a fixture with the services s0, s1 and so on. Service sN has
// the replicas sN-a in zone a, sN-b in zone b and so on. All replicas answer after 10 ms.
// The router is in zone a.
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
	f.router = NewRouter(RouterConfig{
		Clock: f.clock, Fleet: f.fleet, Client: f, Counters: counters, Log: logr.Discard(), Lag: f.lag,
		RetryBudget: NewRetryBudget(f.clock, RetryBudgetLimit{Ratio: 0.2, Slack: 80, Window: 10 * Second}, 1),
		Shutdown:    NewShutdown(),
		Pause:       NewPauseGuard(f.clock, counters, func(context.Context) {}),

		Quarantine: NewQuarantine(f.clock, func(Fact) {}),

		Store: store, Delegation: &f.delegation, DelegateClient: &f.delegation,
	})
	store.OnConfiguration(f.router.Apply)
	f.publish(configuration.Version)
	return f
}

// fixtureDecoder decodes a document that holds only a version number. The rest of the
// configuration is always the same.
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

// publish offers the configuration with the given version to the store.
func (f *routerFixture) publish(version uint64) {
	if _, err := f.router.Store.UpdateConfiguration([]byte(strconv.FormatUint(version, 10)), "platform"); err != nil {
		panic(err)
	}
}

// ask sends a request that matches the route of the fixture.
func (f *routerFixture) ask(ctx context.Context) RoutedAnswer {
	return f.router.Route(ctx, RoutedRequest{
		ID: "id", Arrived: f.clock.Now(), Message: Message{Method: "GET", Host: "h", Target: "/p/1?q"},
	})
}

// plainRoute returns a route with one destination.
func plainRoute(idempotent bool, attempts int) Route {
	return Route{
		Name: "plain", Host: "h", PathPrefix: "/p/", Idempotent: idempotent, Timeout: Second, Objective: 100,
		MaxAttempts: attempts, Destinations: []Destination{{Service: "s0", Weight: 1}},
	}
}

// scatteredRoute returns a route with the given number of shards and minimum coverage.
func scatteredRoute(shards int, minCoverage float64) Route {
	route := Route{
		Name: "scattered", Host: "h", PathPrefix: "/p/", Idempotent: true, Timeout: Second, Objective: 100,
		MaxAttempts: 2, TopK: 3, MinCoverage: minCoverage,
	}
	for i := range shards {
		route.Shards = append(route.Shards, fmt.Sprintf("s%d", i))
	}
	return route
}

// inBubble runs a test in simulated time and waits for its last attempts to end.
func inBubble(t *testing.T, test func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(2 * time.Minute)
		synctest.Wait()
	})
}

// TestPlainRequests covers which failures lead to another attempt, and which outcome is
// reported to the caller.
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
		{"healthy upstream", true, answers(10), answers(10), OutcomeAnswered, 1, 200},
		{"lost reply of an idempotent request is retried", true, lost, answers(10), OutcomeAnswered, 2, 200},
		{"lost reply of a non-idempotent request is not retried", false, lost, answers(10), OutcomeUnknown, 1, 0},
		{"bad reply to a non-idempotent request is not retried", false, fails(FailureBadReply, 5), answers(10), OutcomeUnknown, 1, 0},
		{"idempotent request to a paused upstream is hedged", true, answers(120), answers(10), OutcomeAnswered, 2, 200},
		{"non-idempotent request to a paused upstream is not hedged", false, answers(120), answers(10), OutcomeAnswered, 1, 200},
		{"refusal is retried even if not idempotent", false, shed, answers(10), OutcomeAnswered, 2, 200},
		{"misdirected attempt does not count as run", false, fails(FailureMisdirected, 1), answers(10), OutcomeAnswered, 2, 200},
		{"refusal by all upstreams is reported as not run", false, shed, shed, OutcomeNotRun, 4, 0},
		{"unsent attempt does not count as an attempt", false, fails(FailureNotSent, 1), answers(10), OutcomeAnswered, 1, 200},
		{"no reachable upstream is reported as not run", false, fails(FailureNotSent, 1), fails(FailureNotSent, 1), OutcomeNotRun, 0, 0},
		{"refusal after a lost reply leaves the outcome unknown", true, lost, shed, OutcomeUnknown, 4, 0},
		{"upstream error of a non-idempotent request is returned", false, failed, answers(10), OutcomeAnswered, 1, 500},
		{"upstream error of an idempotent request is retried", true, failed, answers(10), OutcomeAnswered, 2, 200},
		{"last upstream error is returned", true, failed, failed, OutcomeAnswered, 2, 500},
		{"attempt without a reply ends at the deadline", false, hangs(), answers(10), OutcomeUnknown, 1, 0},
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
					t.Errorf("answered after %d ms, want at most %d", f.since(), limit)
				}
			})
		})
	}
}

// TestMaxAttemptsLimitsRuns covers a request whose reply is lost at every upstream: it runs
// at no more upstreams than the route allows.
func TestMaxAttemptsLimitsRuns(t *testing.T) {
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

// TestPausedReplicasAreHedged covers stragglers: for each request, some shards are sent to a
// replica that pauses. Hedges to the other replica must complete the answer in time.
func TestPausedReplicasAreHedged(t *testing.T) {
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

// TestMissingShards covers when an answer is returned without some shards, and when the
// request fails because too many are missing.
func TestMissingShards(t *testing.T) {
	cases := []struct {
		name    string
		faulty  int
		behave  behaviour
		missing int
		outcome Outcome
		minTime Millis
		maxTime Millis
	}{
		{"no shard missing", 0, nil, 0, OutcomeAnswered, 0, 15},
		{"few hang: answered shortly before the objective", 2, hangs(), 2, OutcomeAnswered, 80, 90},
		{"few fail immediately: answered without waiting", 2, fails(FailureLost, 1), 2, OutcomeAnswered, 0, 40},
		{"too many fail immediately: fails without waiting", 3, fails(FailureLost, 1), 0, OutcomeUnknown, 0, 40},
		{"too many are late: answered as soon as enough shards have replied", 3, answers(150), 2, OutcomeAnswered, 140, 175},
		{"too many hang: fails once their upstreams count as unreachable", 3, hangs(), 0, OutcomeUnknown, 150, 260},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(20, 2, scatteredRoute(20, 0.89))
				for i := range tc.faulty {
					f.set(fmt.Sprintf("s%d-a", i), tc.behave)
					f.set(fmt.Sprintf("s%d-b", i), tc.behave)
				}
				answer := f.ask(context.Background())
				merged, _ := answer.Merged.Get()
				if answer.Outcome != tc.outcome || merged.Missing > tc.missing {
					t.Errorf("outcome %s, %d missing (%s)", answer.Outcome, merged.Missing, answer.Detail)
				}
				if at := f.since(); at < tc.minTime || at > tc.maxTime {
					t.Errorf("answered after %d ms, want %d to %d", at, tc.minTime, tc.maxTime)
				}
			})
		})
	}
}

// answersStatus returns a behaviour that replies with a status, a signature and a body that would
// be among the greatest records.
func answersStatus(status int) behaviour {
	return func(context.Context) (RoutedReply, error) {
		return RoutedReply{Status: status, Signature: "failed", Body: []byte("zzzzzzzzzzzzzzzz")}, nil
	}
}

// TestFailedReplyIsNotMerged guards against a shard's failure that is merged as a part: a reply
// with a status such as 404 is complete and has a signature.
func TestFailedReplyIsNotMerged(t *testing.T) {
	cases := []struct {
		name     string
		status   int
		replicas int
		missing  int
		attempts int
	}{
		{"the shard is asked again at its other replica", 404, 2, 0, 5},
		{"the same with a redirect", 302, 2, 0, 5},
		{"the shard is missing if it has no other replica", 404, 1, 1, 4},
		{"a success with another status than 200 is a part", 206, 1, 0, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(4, tc.replicas, scatteredRoute(4, 0.7))
				f.set("s2-a", answersStatus(tc.status))
				answer := f.ask(context.Background())
				merged, _ := answer.Merged.Get()
				if answer.Outcome != OutcomeAnswered || merged.Missing != tc.missing || answer.Attempts != tc.attempts {
					t.Errorf("outcome %s, %d missing, %d attempts; want %d, %d (%s)",
						answer.Outcome, merged.Missing, answer.Attempts, tc.missing, tc.attempts, answer.Detail)
				}
				if success := tc.status < 300; slices.Contains(merged.Signatures, "failed") != success || strings.Contains(string(merged.Records), "z") != success {
					t.Errorf("merged signatures %v and records %q", merged.Signatures, merged.Records)
				}
			})
		})
	}
	t.Run("the request fails if too many shards fail", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			f := newRouterFixture(4, 1, scatteredRoute(4, 0.7))
			f.set("s1-a", answersStatus(404))
			f.set("s2-a", answersStatus(400))
			if answer := f.ask(context.Background()); answer.Outcome != OutcomeUnknown || f.since() > 20 {
				t.Errorf("outcome %s after %d ms", answer.Outcome, f.since())
			}
		})
	})
	t.Run("a hedge that fails leaves the first attempt running", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			f := newRouterFixture(4, 2, scatteredRoute(4, 0.7))
			f.set("s2-a", answers(60))
			f.set("s2-b", answersStatus(404))
			answer := f.ask(context.Background())
			merged, _ := answer.Merged.Get()
			if merged.Missing != 0 || slices.Contains(merged.Signatures, "failed") {
				t.Errorf("%d missing, signatures %v", merged.Missing, merged.Signatures)
			}
		})
	})
	t.Run("an upstream that fails often is passed over, although it replies fast", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			f := newRouterFixture(4, 2, scatteredRoute(4, 0.7))
			f.set("s2-a", answersStatus(404))
			const requests = 60
			for range requests {
				f.ask(context.Background())
			}
			failed := 0
			for _, name := range f.sentTo() {
				if name == "s2-a" {
					failed++
				}
			}
			if failed > requests/4 {
				t.Errorf("%d of %d requests were sent to the failing upstream", failed, requests)
			}
		})
	})
}

// TestFailedReplyIsReturned covers a request with one destination: the caller gets the upstream's
// own failure.
func TestFailedReplyIsReturned(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 2, plainRoute(true, 2))
		f.set("s0-a", answersStatus(404))
		answer := f.ask(context.Background())
		if reply, _ := answer.Reply.Get(); reply.Status != 404 || reply.Signature != "failed" || answer.Attempts != 1 {
			t.Errorf("status %d, signature %q, %d attempts", reply.Status, reply.Signature, answer.Attempts)
		}
	})
}

// TestUpstreamStaysInUseAfterOneLostReply covers upstreams of many shards that each lose a
// reply by a connection reset. If one reset took them out of use, the other replicas would
// be overloaded. They stay in use until a probe or another attempt shows that they are
// unreachable.
func TestUpstreamStaysInUseAfterOneLostReply(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const shards = 10
		f := newRouterFixture(shards, 2, scatteredRoute(shards, 0.89))
		setAll := func(behave behaviour) {
			for i := range shards {
				f.set(fmt.Sprintf("s%d-a", i), behave)
			}
		}
		setAll(fails(FailureLost, 5))
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeAnswered {
			t.Errorf("%s (%s)", answer.Outcome, answer.Detail)
		}
		setAll(answers(10))
		if suspects := f.fleet.Suspects(); len(suspects) != shards {
			t.Errorf("%d of %d upstreams are suspects", len(suspects), shards)
		}
		f.sent = nil
		f.ask(context.Background())
		for _, name := range f.sentTo() {
			if strings.HasSuffix(name, "-b") {
				t.Errorf("sent to %s, although the other replica lost only one reply", name)
			}
		}
		setAll(fails(FailureLost, 5))
		f.ask(context.Background())
		for i := range shards {
			f.fleet.ProbeFailed(fmt.Sprintf("s%d-a", i))
		}
		f.sent = nil
		f.ask(context.Background())
		for _, name := range f.sentTo() {
			if strings.HasSuffix(name, "-a") {
				t.Errorf("sent to %s after a failed probe", name)
			}
		}
	})
}

// TestNoAttemptAfterAnswerIsClosed covers an overloaded instance that closes an answer
// before the goroutines of some shards have started: they must not send attempts.
func TestNoAttemptAfterAnswerIsClosed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 2, scatteredRoute(1, 1))
		closed, cancel := context.WithCancel(context.Background())
		cancel()
		d := &dispatch{
			router: f.router, route: scatteredRoute(1, 1), request: RoutedRequest{Arrived: f.clock.Now()}, service: "s0",
			deadline: f.clock.Now() + Second, queueDeadline: f.clock.Now() + 100, attemptCtx: context.Background(),
		}
		_, failure := d.run(closed)
		synctest.Wait()
		if failure == nil || len(f.sentTo()) > 0 {
			t.Errorf("sent to %v", f.sentTo())
		}
	})
}

// TestUnreachableShardsAreRefusedImmediately covers an instance in a zone without shards
// that is partitioned from all other zones. The first requests wait until the upstreams
// count as unreachable. Later ones are refused as not run, without delay, until probes reach
// the upstreams again.
func TestUnreachableShardsAreRefusedImmediately(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(20, 2, scatteredRoute(20, 0.89))
		for i := range 20 {
			f.set(fmt.Sprintf("s%d-a", i), hangs())
			f.set(fmt.Sprintf("s%d-b", i), hangs())
		}
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeUnknown {
			t.Errorf("outcome of the first request is %s", answer.Outcome)
		}
		if f.since() > SilentAfterMillis+TimerSlackMillis {
			t.Errorf("the first request took %d ms", f.since())
		}
		if f.router.Serviceable() {
			t.Error("the router is serviceable without reachable shards")
		}
		sent := len(f.sentTo())
		before := f.since()
		answer := f.ask(context.Background())
		if answer.Outcome != OutcomeNotRun || answer.RetryAfter == 0 || !answer.CloseConnection || f.since() != before {
			t.Errorf("got %+v after %d ms", answer, f.since()-before)
		}
		if len(f.sentTo()) != sent {
			t.Error("a request was sent to an upstream but refused as not run")
		}
		for i := range 20 {
			f.set(fmt.Sprintf("s%d-a", i), answers(10))
			f.fleet.Observe(fmt.Sprintf("s%d-a", i), UpstreamStatus{Incarnation: 1, Phase: PhaseLive})
		}
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeAnswered || !f.router.Serviceable() {
			t.Errorf("after the partition: %+v", answer)
		}
	})
}

// TestSilentZoneDetectedByLateAttempts covers a partition from the zone with the preferred
// replicas: many late attempts without any reply from that zone take all its replicas out
// of use, before each one has been silent for SilentAfterMillis.
func TestSilentZoneDetectedByLateAttempts(t *testing.T) {
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

// TestSlowInstanceDoesNotMarkZoneSilent covers an instance with little bandwidth: all
// replies to a request to many shards are late, but they arrive, so the zone stays in use.
func TestSlowInstanceDoesNotMarkZoneSilent(t *testing.T) {
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
			t.Errorf("%d of 20 shards are reachable", got)
		}
	})
}

// TestHedgesStayWithinRetryBudget covers a service whose replicas are all slow: repeats stop
// when the retry budget is used up, and first attempts continue.
func TestHedgesStayWithinRetryBudget(t *testing.T) {
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
		// 300 requests take 24 s, about two and a half windows, each with its share of the slack.
		const windows = 3
		if allowed := 0.2*requests + windows*80*usableSlackFraction; float64(repeats) > allowed || repeats == 0 {
			t.Errorf("%d repeats, %.0f allowed", repeats, allowed)
		}
	})
}

// TestLaggingInstanceRefusesEarly covers a slow instance: it refuses requests and asks
// callers to reconnect to another instance, instead of letting them wait.
func TestLaggingInstanceRefusesEarly(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(3, 2, scatteredRoute(3, 0.5))
		for range 5 {
			f.lag.Observe(80)
		}
		answer := f.ask(context.Background())
		if answer.Outcome != OutcomeNotRun || !answer.CloseConnection || len(f.sentTo()) != 0 {
			t.Errorf("got %+v", answer)
		}
		for range 5 {
			f.lag.Observe(0)
		}
		if answer := f.ask(context.Background()); answer.Outcome != OutcomeAnswered || !answer.CloseConnection {
			t.Errorf("got %+v; want an answer with CloseConnection still set", answer)
		}
		time.Sleep(OverloadHoldMillis.Duration())
		if answer := f.ask(context.Background()); answer.CloseConnection {
			t.Error("CloseConnection is set after the instance has caught up")
		}
	})
}

// TestRecentlyHeardUpstreamIsNotMarkedSilent covers a slow instance whose timers fire late:
// replies that it has not read yet must not count as silence of an upstream. Timers in a
// synctest bubble are never late, so the test calls Permit.RecordSilence itself.
func TestRecentlyHeardUpstreamIsNotMarkedSilent(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 1, plainRoute(true, 1))
		permit, err := f.fleet.Acquire(context.Background(), Want{Service: "s0"})
		if err != nil {
			t.Fatal(err)
		}
		f.fleet.Observe("s0-a", UpstreamStatus{Incarnation: 1, Phase: PhaseLive})
		time.Sleep(SilentAfterMillis.Duration())
		f.fleet.Observe("s0-a", UpstreamStatus{Incarnation: 1, Phase: PhaseLive})
		permit.RecordSilence()
		if f.fleet.ReachableServices([]string{"s0"}) != 1 {
			t.Error("an upstream that was heard after the attempt began is out of use")
		}
		permit.Release()
	})
}

// TestAttemptsEndAfterCallerLeaves covers callers that disconnect: their attempts are
// cancelled at once. After an answer, late attempts continue for
// AbandonedAttemptGraceMillis, so that their connections can be reused.
func TestAttemptsEndAfterCallerLeaves(t *testing.T) {
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
				t.Errorf("attempt at %s was cancelled at %d ms, want 30", attempt.upstream, attempt.cancelled)
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
		if at := f.sent[index].cancelled; at != answered+AbandonedAttemptGraceMillis {
			t.Errorf("answered at %d ms, the late attempt was cancelled at %d ms", answered, at)
		}
	})
}

// TestAttemptsEndAtDeadline covers upstreams that do not finish a reply: an attempt that
// continues after the answer is cancelled at the deadline at the latest.
func TestAttemptsEndAtDeadline(t *testing.T) {
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
				t.Errorf("coverage %.1f: the attempt was cancelled at %d ms", coverage, at)
			}
		})
	}
}

// TestDeadlineIsPropagated checks that the deadline of an attempt is never later than the
// deadline of the caller or the timeout of the route.
func TestDeadlineIsPropagated(t *testing.T) {
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
				t.Errorf("deadline of attempt %d is %d ms, want at most %d", i, got, limit)
			}
		}
	})
}

// TestLagShortensPropagatedDeadline covers a request that waited before it was read: the
// caller's timeout started before that, so upstreams get a shorter deadline.
func TestLagShortensPropagatedDeadline(t *testing.T) {
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
			t.Errorf("deadline of the attempt is %d ms, want at most %d", got, limit)
		}
	})
}

// TestRequestKeepsItsConfiguration covers repartitioning: a request is answered only by
// the shards of the configuration version that it started with.
func TestRequestKeepsItsConfiguration(t *testing.T) {
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
			t.Errorf("the next request is answered with version %d", answer.ConfigurationVersion)
		}
		if got := f.sentTo(); !slices.Equal(got[len(got)-2:], []string{"s2-a", "s3-a"}) && !slices.Equal(got[len(got)-2:], []string{"s3-a", "s2-a"}) {
			t.Errorf("sent to %v", got)
		}
	})
}

// TestLeavingUpstreamsGetNoRequests covers an upstream that is listed as leaving, and one
// whose address another upstream has taken over.
func TestLeavingUpstreamsGetNoRequests(t *testing.T) {
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

// TestNoCapacityIsRefusedEarly covers a service whose only upstream has no free slot: the
// request is refused as not run, long before its deadline.
func TestNoCapacityIsRefusedEarly(t *testing.T) {
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

// TestUnknownRoutes covers requests that match no route, and a router without a
// configuration.
func TestUnknownRoutes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 1, plainRoute(true, 1))
		answer := f.router.Route(context.Background(), RoutedRequest{ID: "id", Message: Message{Host: "h", Target: "/q/"}})
		if answer.Reason != ReasonUnknownRoute || answer.ConfigurationVersion != 7 {
			t.Errorf("got %+v", answer)
		}
		empty := NewRouter(f.router.RouterConfig)
		if answer := empty.Route(context.Background(), RoutedRequest{ID: "id"}); answer.Reason != ReasonNotReady {
			t.Errorf("without a configuration: %+v", answer)
		}
	})
}
