package core

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// scriptedClient is an UpstreamClient that answers attempts with the given functions and
// records the upstreams they were sent to.
type scriptedClient struct {
	mu     sync.Mutex
	search func(ctx context.Context, target Target, attempt SearchAttempt) (SearchReply, error)
	order  func(target Target, attempt OrderAttempt) (OrderReply, error)
	sent   []string
}

func (c *scriptedClient) Search(ctx context.Context, target Target, attempt SearchAttempt) (SearchReply, error) {
	c.mu.Lock()
	c.sent = append(c.sent, target.Name)
	c.mu.Unlock()
	return c.search(ctx, target, attempt)
}

func (c *scriptedClient) Order(_ context.Context, target Target, attempt OrderAttempt) (OrderReply, error) {
	c.mu.Lock()
	c.sent = append(c.sent, target.Name)
	c.mu.Unlock()
	return c.order(target, attempt)
}

// sentTo returns the names of the upstreams that attempts were sent to, in order. It locks,
// because cancelled attempts may still be running.
func (c *scriptedClient) sentTo() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.sent)
}

func (c *scriptedClient) Probe(context.Context, Target) (UpstreamStatus, error) {
	return liveStatus(1, 1, 2), nil
}

func (c *scriptedClient) Retain(Set[string]) {}

// covered returns an empty reply that covers all requested ranges.
func covered(attempt SearchAttempt) SearchReply {
	return SearchReply{Covered: attempt.Ranges, Status: liveStatus(1, 1, 2)}
}

// engineFixture is an engine with two services of two replicas each, and the collection
// "c" with the snapshots 1 and 2.
type engineFixture struct {
	client     *scriptedClient
	engine     *Engine
	fleet      *Fleet
	quarantine *Quarantine
	counters   *Counters
	ids        int
}

// fixedDecoder decodes any input to the same configuration.
type fixedDecoder struct{ configuration Configuration }

func (d fixedDecoder) Configuration([]byte) (Configuration, error)   { return d.configuration, nil }
func (fixedDecoder) InstanceList([]byte) (InstanceList, error)       { return InstanceList{}, nil }
func (fixedDecoder) EncodeInstanceList(InstanceList) ([]byte, error) { return nil, nil }

func twoServices() Configuration {
	configuration := Configuration{Version: 4, MaxInstances: 2}
	for _, name := range []string{"s1", "s2"} {
		configuration.Services = append(configuration.Services, Service{
			Name: name, Slots: 2, Connections: 8,
			Upstreams: []Upstream{{Name: name + "a", Address: "a", Zone: "z"}, {Name: name + "b", Address: "b", Zone: "z"}},
		})
	}
	halves := []Partition{
		{Range: KeyRange{0, KeySpace / 2}, Service: "s1"},
		{Range: KeyRange{KeySpace / 2, KeySpace}, Service: "s2"},
	}
	configuration.Collections = []Collection{{
		Name:      "c",
		Snapshots: []Snapshot{{ID: 1, Partitions: halves}, {ID: 2, Partitions: halves}},
		Kinds: []Kind{
			{Name: "wait", Mode: ModeSearch, Timeout: 150, MinCoverage: 1, Priority: 2},
			{Name: "early", Mode: ModeSearch, Timeout: 2000, CloseAfter: 50, MinCoverage: 0.5, Priority: 2},
			{Name: "order", Mode: ModeOrder, Timeout: 200, MinCoverage: 1, Priority: 2},
		},
	}}
	return configuration
}

func newEngineFixture() *engineFixture {
	clock := NewClock()
	f := &engineFixture{client: &scriptedClient{}, counters: NewCounters()}
	f.fleet = NewFleet(clock, "z", Policy{}, func(Fact) {})
	f.quarantine = NewQuarantine(clock, func(Fact) {})
	store := NewStore(clock, fixedDecoder{twoServices()}, f.counters)
	store.OnConfiguration(f.fleet.Apply)
	_, _ = store.UpdateConfiguration(nil, "test")
	for _, name := range []string{"s1a", "s1b", "s2a", "s2b"} {
		f.fleet.Observe(name, liveStatus(1, 1, 2))
	}
	f.engine = NewEngine(EngineConfig{
		Instance: "n", Clock: clock, Store: store, Fleet: f.fleet, Client: f.client,
		Quarantine: f.quarantine, Budget: NewTokenBudget(ExtraLoadShare, ExtraLoadBurst),
		Pause:    NewPauseGuard(clock, f.counters, func(context.Context) {}),
		Counters: f.counters, Gates: NewGateSet(clock, Priorities),
		NewID:       func() string { f.client.mu.Lock(); defer f.client.mu.Unlock(); f.ids++; return fmt.Sprint(f.ids) },
		NotifyPeers: func(context.Context) {},
	})
	return f
}

func (f *engineFixture) query(kind string) Answer {
	return f.engine.Query(context.Background(), Request{ID: "r", Collection: "c", Kind: kind, Arrived: f.engine.Clock.Now()})
}

// fail returns the result of an attempt that failed.
func fail(kind FailureKind) (SearchReply, error) {
	return SearchReply{}, &AttemptError{Kind: kind}
}

func TestQueries(t *testing.T) {
	type search = func(ctx context.Context, target Target, attempt SearchAttempt) (SearchReply, error)
	onService := func(service string, broken, other search) search {
		return func(ctx context.Context, target Target, attempt SearchAttempt) (SearchReply, error) {
			if target.Service == service {
				return broken(ctx, target, attempt)
			}
			return other(ctx, target, attempt)
		}
	}
	healthy := func(_ context.Context, _ Target, attempt SearchAttempt) (SearchReply, error) {
		return covered(attempt), nil
	}
	alwaysFail := func(kind FailureKind) search {
		return func(context.Context, Target, SearchAttempt) (SearchReply, error) { return fail(kind) }
	}
	hang := func(ctx context.Context, _ Target, _ SearchAttempt) (SearchReply, error) {
		<-ctx.Done()
		return fail(FailureTimeout)
	}
	failOnce := func(kind FailureKind) search {
		var once sync.Once
		return func(_ context.Context, _ Target, attempt SearchAttempt) (SearchReply, error) {
			failed := false
			once.Do(func() { failed = true })
			if failed {
				return fail(kind)
			}
			return covered(attempt), nil
		}
	}
	cases := []struct {
		name       string
		kind       string
		search     search
		outcome    Outcome
		reason     Reason
		fraction   float64
		sufficient bool
	}{
		{"healthy shards only", "wait", healthy, OutcomeAnswered, ReasonNone, 1, true},
		{"one connection lost", "wait", onService("s1", failOnce(FailureLost), healthy), OutcomeAnswered, ReasonNone, 1, true},
		{"one replica that truncates its replies", "wait", onService("s1", func(_ context.Context, target Target, attempt SearchAttempt) (SearchReply, error) {
			reply := covered(attempt)
			if target.Name == "s1a" {
				reply.Covered = []KeyRange{{Start: attempt.Ranges[0].Start, End: attempt.Ranges[0].Start + attempt.Ranges[0].Size()/2}}
			}
			return reply, nil
		}, healthy), OutcomeAnswered, ReasonNone, 1, true},
		{"replicas that cover half of their shard at a time", "wait", onService("s1", func(_ context.Context, _ Target, attempt SearchAttempt) (SearchReply, error) {
			reply := covered(attempt)
			reply.Covered = []KeyRange{{Start: attempt.Ranges[0].Start, End: min(attempt.Ranges[0].End, attempt.Ranges[0].Start+KeySpace/4)}}
			return reply, nil
		}, healthy), OutcomeAnswered, ReasonNone, 1, true},
		{"one bad reply", "wait", onService("s1", failOnce(FailureBadReply), healthy), OutcomeAnswered, ReasonNone, 1, true},
		{"one shed attempt", "wait", onService("s1", failOnce(FailureNotRun), healthy), OutcomeAnswered, ReasonNone, 1, true},
		{"a shard that hangs", "wait", onService("s1", hang, healthy), OutcomeAnswered, ReasonNone, 0.5, false},
		{"a shard that hangs, closed early", "early", onService("s1", hang, healthy), OutcomeAnswered, ReasonNone, 0.5, true},
		{"a shard that always sheds", "wait", onService("s1", alwaysFail(FailureNotRun), healthy), OutcomeAnswered, ReasonNone, 0.5, false},
		{"shards that all shed: not run", "wait", alwaysFail(FailureNotRun), OutcomeNotRun, ReasonOverloaded, 0, false},
		{"no connection to any upstream: not run", "wait", alwaysFail(FailureNotSent), OutcomeNotRun, ReasonNoUpstream, 0, false},
		{"one shard that may have run and one that sheds: outcome unknown", "wait", onService("s1", alwaysFail(FailureLost), alwaysFail(FailureNotRun)), OutcomeUnknown, ReasonOverloaded, 0, false},
		{"shards that all hang: outcome unknown", "wait", hang, OutcomeUnknown, ReasonTimeout, 0, false},
		{"bad replies only: outcome unknown", "wait", alwaysFail(FailureBadReply), OutcomeUnknown, ReasonTimeout, 0, false},
	}
	Convey("A query with", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				f := newEngineFixture()
				f.client.search = tc.search
				answer := f.query(tc.kind)
				So(answer.Outcome, ShouldEqual, tc.outcome)
				So(answer.Reason, ShouldEqual, tc.reason)
				So(answer.Coverage.Fraction(), ShouldAlmostEqual, tc.fraction)
				So(answer.Sufficient, ShouldEqual, tc.sufficient)
			})
		}
	})
}

func TestADroppedSnapshotRestartsTheWholeQuery(t *testing.T) {
	Convey("When a shard drops the snapshot during a query, all shards are queried at another one", t, func() {
		f := newEngineFixture()
		attempts := map[uint64]int{}
		f.client.search = func(_ context.Context, target Target, attempt SearchAttempt) (SearchReply, error) {
			f.client.mu.Lock()
			attempts[attempt.Snapshot]++
			f.client.mu.Unlock()
			if attempt.Snapshot == 2 && target.Service == "s1" {
				return fail(FailureNoSnapshot)
			}
			return covered(attempt), nil
		}
		answer := f.query("wait")
		So(answer.Snapshot, ShouldEqual, 1)
		So(answer.Coverage.IsComplete(), ShouldBeTrue)
		// An attempt at the dropped snapshot may still be starting.
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		So(attempts[1], ShouldEqual, 2)
		So(f.counters.Get(CountSnapshotRestarts), ShouldEqual, 1)
	})
}

func TestASuspectRunsOnOneUpstreamFirst(t *testing.T) {
	Convey("Given a request suspected of crashing upstreams", t, func() {
		f := newEngineFixture()
		request := Request{Collection: "c", Kind: "wait"}
		f.quarantine.MarkSuspect(request.Fingerprint())
		Convey("when its isolated run survives, all shards are queried and it is cleared", func() {
			f.client.search = func(_ context.Context, _ Target, attempt SearchAttempt) (SearchReply, error) {
				return covered(attempt), nil
			}
			So(f.query("wait").Coverage.IsComplete(), ShouldBeTrue)
			So(f.client.sentTo()[0], ShouldStartWith, "s1")
			for _, name := range f.client.sentTo()[1:] {
				So(name, ShouldStartWith, "s2")
			}
			So(f.quarantine.Verdict(request.Fingerprint()), ShouldEqual, VerdictCleared)
		})
		Convey("when its isolated runs crash, no other shard is queried and it is then refused", func() {
			f.client.search = func(context.Context, Target, SearchAttempt) (SearchReply, error) { return fail(FailureLost) }
			for f.quarantine.Verdict(request.Fingerprint()) != VerdictConvicted && len(f.client.sentTo()) < 10 {
				f.query("wait")
				for _, name := range []string{"s1a", "s1b"} {
					f.fleet.Observe(name, liveStatus(uint64(2+len(f.client.sentTo())), 1, 2))
				}
			}
			So(len(f.client.sentTo()), ShouldEqual, ConvictAfterCrashes)
			So(f.client.sentTo(), ShouldNotContain, "s2a")
			So(f.query("wait").Reason, ShouldEqual, ReasonCrashesUpstreams)
			So(len(f.client.sentTo()), ShouldEqual, ConvictAfterCrashes)
		})
	})
}

func TestRequestsThatAreNotAdmitted(t *testing.T) {
	Convey("Without any attempt, the engine refuses as not run", t, func() {
		f := newEngineFixture()
		f.client.search = func(_ context.Context, _ Target, attempt SearchAttempt) (SearchReply, error) {
			return covered(attempt), nil
		}
		now := f.engine.Clock.Now()
		cases := []struct {
			name    string
			request Request
			reason  Reason
		}{
			{"an unknown collection", Request{ID: "r", Collection: "x", Kind: "wait", Arrived: now}, ReasonUnknownCollection},
			{"an unknown kind", Request{ID: "r", Collection: "c", Kind: "x", Arrived: now}, ReasonUnknownKind},
			{"an order sent as a query", Request{ID: "r", Collection: "c", Kind: "order", Arrived: now}, ReasonWrongMode},
			{"a deadline in the past", Request{ID: "r", Collection: "c", Kind: "wait", Arrived: now, Deadline: now - 1}, ReasonDeadlinePassed},
		}
		for _, tc := range cases {
			Convey(tc.name, func() {
				answer := f.engine.Query(context.Background(), tc.request)
				So(answer.Outcome, ShouldEqual, OutcomeNotRun)
				So(answer.Reason, ShouldEqual, tc.reason)
				So(f.client.sentTo(), ShouldBeEmpty)
			})
		}
		Convey("a second request with the same ID while the first is in flight", func() {
			release := make(chan struct{})
			f.client.search = func(_ context.Context, _ Target, attempt SearchAttempt) (SearchReply, error) {
				<-release
				return covered(attempt), nil
			}
			firstAnswer := make(chan Answer)
			go func() { firstAnswer <- f.query("early") }()
			for f.engine.InFlight() == 0 {
				time.Sleep(time.Millisecond)
			}
			So(f.query("early").Reason, ShouldEqual, ReasonDuplicateID)
			close(release)
			So((<-firstAnswer).Outcome, ShouldEqual, OutcomeAnswered)
		})
	})
}

// noPeers is a peer client for which all peers are unreachable.
type noPeers struct{}

func (noPeers) ForwardOrder(context.Context, string, Ticket, Request) (Answer, error) {
	return Answer{}, ErrPeerUnreachable
}
func (noPeers) MintTicket(context.Context, string) (Ticket, error) {
	return Ticket{}, ErrPeerUnreachable
}
func (noPeers) TakeOver(context.Context, string, BookCopy) error { return ErrPeerUnreachable }

// anyAddress accepts the address in every ticket.
func anyAddress(_, address string) Option[string] { return Some(address) }

func TestOrders(t *testing.T) {
	cases := []struct {
		name     string
		failures []FailureKind
		outcome  Outcome
		reason   Reason
		attempts int
	}{
		{"run", nil, OutcomeAnswered, ReasonNone, 1},
		{"shed once, then run elsewhere", []FailureKind{FailureNotRun}, OutcomeAnswered, ReasonNone, 2},
		{"not sent once, then run elsewhere", []FailureKind{FailureNotSent}, OutcomeAnswered, ReasonNone, 2},
		{"shed everywhere", []FailureKind{FailureNotRun, FailureNotRun}, OutcomeNotRun, ReasonUpstreamRefused, 2},
		{"lost", []FailureKind{FailureLost}, OutcomeUnknown, ReasonConnectionLost, 1},
		{"answered with a bad reply", []FailureKind{FailureBadReply}, OutcomeUnknown, ReasonConnectionLost, 1},
		{"timed out", []FailureKind{FailureTimeout}, OutcomeUnknown, ReasonTimeout, 1},
		{"shed once, then lost", []FailureKind{FailureNotRun, FailureLost}, OutcomeUnknown, ReasonConnectionLost, 2},
	}
	Convey("An order that is", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				f := newEngineFixture()
				failures := tc.failures
				f.client.order = func(Target, OrderAttempt) (OrderReply, error) {
					if len(failures) > 0 {
						kind := failures[0]
						failures = failures[1:]
						return OrderReply{}, &AttemptError{Kind: kind}
					}
					return OrderReply{Result: "booked", Status: liveStatus(1, 1, 2)}, nil
				}
				orders := NewOrders(f.engine, noPeers{}, anyAddress, Home{"n", 1}, "a", func(Fact) {})
				request := Request{ID: "r", Collection: "c", Kind: "order", Key: "k", Arrived: f.engine.Clock.Now()}
				ticket := orders.Mint()
				answer := orders.Run(context.Background(), ticket, request)
				So(answer.Outcome, ShouldEqual, tc.outcome)
				So(answer.Reason, ShouldEqual, tc.reason)
				So(len(f.client.sentTo()), ShouldEqual, tc.attempts)
				again := orders.Run(context.Background(), ticket, request)
				if tc.outcome != OutcomeNotRun {
					So(again.Outcome, ShouldEqual, tc.outcome)
					So(len(f.client.sentTo()), ShouldEqual, tc.attempts)
				}
			})
		}
		Convey("sent to another instance while its home is unreachable has an unknown outcome", func() {
			f := newEngineFixture()
			home := NewOrders(f.engine, noPeers{}, anyAddress, Home{"n", 1}, "a", func(Fact) {})
			other := NewOrders(f.engine, noPeers{}, anyAddress, Home{"m", 1}, "b", func(Fact) {})
			request := Request{ID: "r", Collection: "c", Kind: "order", Key: "k", Arrived: f.engine.Clock.Now()}
			answer := other.Run(context.Background(), home.Mint(), request)
			So(answer.Outcome, ShouldEqual, OutcomeUnknown)
			So(answer.Reason, ShouldEqual, ReasonHomeLost)
			So(f.client.sentTo(), ShouldBeEmpty)
		})
	})
}

// recordingPeers is a peer client that records where orders are forwarded to.
type recordingPeers struct {
	noPeers
	forwardedTo []string
}

func (r *recordingPeers) ForwardOrder(_ context.Context, address string, _ Ticket, request Request) (Answer, error) {
	r.forwardedTo = append(r.forwardedTo, address)
	return Answer{RequestID: request.ID, Outcome: OutcomeAnswered}, nil
}

// TestOrdersAreForwardedToKnownInstances guards against a caller that changes the address in a ticket
// and makes an instance connect to an address of the caller's choice.
func TestOrdersAreForwardedToKnownInstances(t *testing.T) {
	known := func(name, _ string) Option[string] {
		if name == "m" {
			return Some("b")
		}
		return None[string]()
	}
	cases := []struct {
		name, home, address string
		forwardedTo         []string
	}{
		{"the ticket of a known instance", "m", "b", []string{"b"}},
		{"a changed address of a known instance", "m", "192.0.2.1:1", []string{"b"}},
		{"the ticket of an unknown instance", "x", "192.0.2.1:1", nil},
	}
	Convey("An order is forwarded", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				f := newEngineFixture()
				peers := &recordingPeers{}
				orders := NewOrders(f.engine, peers, known, Home{"n", 1}, "a", func(Fact) {})
				ticket := NewTicketBook(f.engine.Clock, Home{tc.home, 1}, tc.address).Mint()
				answer := orders.Run(context.Background(), ticket, Request{ID: "r", Collection: "c", Kind: "book", Key: "k", Arrived: f.engine.Clock.Now()})
				So(peers.forwardedTo, ShouldResemble, tc.forwardedTo)
				if tc.forwardedTo == nil {
					So(answer.Outcome, ShouldEqual, OutcomeUnknown)
					So(answer.Reason, ShouldEqual, ReasonHomeLost)
				}
			})
		}
	})
}
