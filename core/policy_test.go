package core

import (
	"context"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestBudgetKeepsExtraLoadWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewTokenBudget(ExtraLoadShare, ExtraLoadBurst)
		first, extra := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "queries") {
			shards := rapid.IntRange(1, 40).Draw(t, "shards")
			budget.Earn(shards)
			first += shards
			for budget.Spend() {
				extra++
			}
		}
		if limit := ExtraLoadShare*float64(first) + ExtraLoadBurst; float64(extra) > limit {
			t.Fatalf("%d extra attempts for %d first attempts, want at most %.0f", extra, first, limit)
		}
	})
}

func TestGate(t *testing.T) {
	Convey("A gate with limit 9 and 3 priorities", t, func() {
		manual := &manualClock{now: Minute}
		gate := NewGate(manual.clock(), 9, 3)
		ctx := context.Background()
		enter := func(priority int) int {
			admitted := 0
			for gate.Enter(ctx, priority, 9, 0) {
				admitted++
			}
			return admitted
		}
		Convey("refuses the lowest priority first", func() {
			So(enter(0), ShouldEqual, 3)
			So(enter(1), ShouldEqual, 3)
			So(enter(2), ShouldEqual, 3)
		})
		Convey("always admits the minimum number of requests", func() {
			for range 200 {
				gate.Enter(ctx, 2, 9, 0)
				manual.now += 100
				gate.Leave(10, true)
			}
			So(gate.Enter(ctx, 0, 9, 0), ShouldBeTrue)
			for range int(GateMinLimit) - 1 {
				So(gate.Enter(ctx, 2, 9, 0), ShouldBeTrue)
			}
			So(gate.Enter(ctx, 2, 9, 0), ShouldBeFalse)
		})
		Convey("lowers its limit when answers take longer than without load", func() {
			gate.Enter(ctx, 2, 9, 0)
			gate.Leave(10, false)
			for range 50 {
				gate.Enter(ctx, 2, 9, 0)
				manual.now += 100
				gate.Leave(40, false)
			}
			So(gate.State().Limit, ShouldBeLessThan, 3)
		})
		Convey("keeps its limit after one very late answer", func() {
			gate.Enter(ctx, 2, 9, 0)
			gate.Leave(10, false)
			gate.Enter(ctx, 2, 9, 0)
			gate.Leave(1000, false)
			So(gate.State().Limit, ShouldBeGreaterThanOrEqualTo, 9)
		})
		Convey("refuses a waiting request in favour of one with a higher priority", func() {
			gate.Enter(ctx, 2, 9, 0)
			gate.Leave(500, false)
			for gate.Enter(ctx, 2, 1, 0) {
				break
			}
			low := make(chan bool, 1)
			go func() { low <- gate.Enter(ctx, 0, 1, 0) }()
			for len(gate.waiting()) == 0 {
				runtime.Gosched()
			}
			high := make(chan bool, 1)
			go func() { high <- gate.Enter(ctx, 2, 1, 0) }()
			So(<-low, ShouldBeFalse)
			gate.Leave(500, false)
			So(<-high, ShouldBeTrue)
		})
	})
}

// waiting returns the priorities of the waiting requests.
func (g *Gate) waiting() []int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var priorities []int
	for _, w := range g.waiters {
		priorities = append(priorities, w.priority)
	}
	return priorities
}

func TestFactLog(t *testing.T) {
	Convey("Given a log with a fact of incarnation 2", t, func() {
		manual := &manualClock{now: Minute}
		log := NewFactLog(manual.clock())
		So(log.Merge(NewLeavingFact("u0", 2)), ShouldBeTrue)
		cases := []struct {
			name  string
			fact  Fact
			isNew bool
		}{
			{"a repeated fact is not new", NewLeavingFact("u0", 2), false},
			{"an older incarnation is not new", NewLeavingFact("u0", 1), false},
			{"a newer incarnation is new", NewLeavingFact("u0", 3), true},
			{"another upstream is new", NewLeavingFact("u1", 1), true},
			{"an expired fact is not accepted", Fact{Kind: FactUpstreamLeaving, Subject: "u9", Stamp: 1, Age: FactTTLMillis + 1}, false},
		}
		for _, tc := range cases {
			Convey(tc.name, func() {
				So(log.Merge(tc.fact), ShouldEqual, tc.isNew)
			})
		}
		Convey("a peer is sent only facts that are new to it", func() {
			_, seen := log.Since(0)
			log.Merge(NewLeavingFact("u1", 1))
			facts, _ := log.Since(seen)
			So(facts, ShouldHaveLength, 1)
			So(facts[0].Subject, ShouldEqual, "u1")
		})
		Convey("a fact is dropped after its TTL", func() {
			manual.now += FactTTLMillis + 1
			facts, _ := log.Since(0)
			So(facts, ShouldBeEmpty)
		})
		Convey("the log holds at most MaxFacts facts", func() {
			for i := range MaxFacts + 10 {
				log.Merge(NewLeavingFact(string(rune('A'+i)), 1))
			}
			facts, _ := log.Since(0)
			So(len(facts), ShouldBeLessThanOrEqualTo, MaxFacts)
		})
	})
}

func TestQuarantine(t *testing.T) {
	Convey("Given a quarantine", t, func() {
		manual := &manualClock{now: Minute}
		var notified []Fact
		q := NewQuarantine(manual.clock(), func(fact Fact) { notified = append(notified, fact) })
		Convey("a suspect that survives an isolated run is cleared", func() {
			q.MarkSuspect("f")
			So(q.Verdict("f"), ShouldEqual, VerdictSuspect)
			q.MarkCleared("f")
			So(q.Verdict("f"), ShouldEqual, VerdictCleared)
			So(notified, ShouldHaveLength, 2)
		})
		Convey("crashes in isolated runs lead to a conviction", func() {
			for range ConvictAfterCrashes - 1 {
				So(q.RecordIsolatedCrash("f"), ShouldEqual, VerdictSuspect)
			}
			So(q.RecordIsolatedCrash("f"), ShouldEqual, VerdictConvicted)
		})
		Convey("crashes on two instances add up", func() {
			other := NewQuarantine(manual.clock(), func(Fact) {})
			q.RecordIsolatedCrash("f")
			other.Apply(notified[0])
			So(other.RecordIsolatedCrash("f"), ShouldEqual, VerdictConvicted)
		})
		Convey("a verdict expires", func() {
			q.MarkSuspect("f")
			manual.now += VerdictTTLMillis + 1
			So(q.Verdict("f"), ShouldEqual, VerdictNone)
		})
		Convey("a crash does not count after its verdict has expired, in isolated runs or others", func() {
			for _, peer := range []bool{false, true} {
				if peer {
					other := NewQuarantine(manual.clock(), func(fact Fact) { q.Apply(fact) })
					other.RecordIsolatedCrash("f")
				} else {
					q.RecordIsolatedCrash("f")
				}
				manual.now += VerdictTTLMillis + 1
				So(q.Crashes("f"), ShouldEqual, 0)
				So(q.RecordIsolatedCrash("f"), ShouldEqual, VerdictSuspect)
				manual.now += VerdictTTLMillis + 1
				So(q.RecordSharedCrash("f", manual.now-10, manual.now), ShouldEqual, VerdictSuspect)
				manual.now += VerdictTTLMillis + 1
			}
		})
		Convey("a request is suspected again after its verdict has expired", func() {
			q.MarkSuspect("f")
			manual.now += VerdictTTLMillis + 1
			q.MarkSuspect("f")
			So(q.Verdict("f"), ShouldEqual, VerdictSuspect)
		})
		Convey("an older verdict does not replace a newer one", func() {
			q.MarkSuspect("f")
			manual.now += 10
			q.MarkCleared("f")
			q.Apply(notified[0])
			So(q.Verdict("f"), ShouldEqual, VerdictCleared)
		})
	})
}

func TestPauseGuard(t *testing.T) {
	Convey("Given a pause guard", t, func() {
		manual := &manualClock{now: Minute}
		renewed := make(chan struct{}, 4)
		release := make(chan struct{})
		guard := NewPauseGuard(manual.clock(), NewCounters(), func(context.Context) {
			renewed <- struct{}{}
			<-release
		})
		Convey("work is not held back without a gap on the clock", func() {
			manual.now += PauseThresholdMillis
			So(guard.Await(context.Background()), ShouldBeNil)
			So(renewed, ShouldBeEmpty)
		})
		Convey("after a gap on the clock, work waits for the renewal even if Run has not noticed", func() {
			manual.now += PauseThresholdMillis + 1
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			So(guard.Await(ctx), ShouldNotBeNil)
			<-renewed
			close(release)
			So(guard.Await(context.Background()), ShouldBeNil)
		})
	})
}

func TestRingLinksReachEveryInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 300).Draw(t, "instances")
		var all []string
		for i := range count {
			all = append(all, "10.0.0.1:"+string(rune('0'+i)))
		}
		links := map[string][]string{}
		for _, self := range all {
			others := without(all, self)
			links[self] = RingLinks(self, others, MaxPeerLinks)
			if len(links[self]) > MaxPeerLinks {
				t.Fatalf("%d links, want at most MaxPeerLinks", len(links[self]))
			}
		}
		if hops := hopsFrom(links, all[0], count); hops < 0 || hops > 9 {
			t.Fatalf("%d instances need %d hops, want 0 to 9", count, hops)
		}
	})
}

// without returns the addresses except self.
func without(all []string, self string) []string {
	var others []string
	for _, a := range all {
		if a != self {
			others = append(others, a)
		}
	}
	return others
}

// hopsFrom returns how many hops a message from one instance takes to reach count
// instances, or -1 if it does not reach all of them.
func hopsFrom(links map[string][]string, from string, count int) int {
	reached := NewSet(from)
	for hops := 0; ; hops++ {
		if len(reached) == count {
			return hops
		}
		before := len(reached)
		for _, address := range reached.Sorted() {
			for _, next := range links[address] {
				reached.Add(next)
			}
		}
		if len(reached) == before {
			return -1
		}
	}
}
