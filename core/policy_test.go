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
		budget := NewBudget(ExtraLoadShare, ExtraLoadBurst)
		first, extra := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "queries") {
			shards := rapid.IntRange(1, 40).Draw(t, "shards")
			budget.Earn(shards)
			first += shards
			for budget.Spend() {
				extra++
			}
		}
		if most := ExtraLoadShare*float64(first) + ExtraLoadBurst; float64(extra) > most {
			t.Fatalf("%d extra attempts for %d, at most %.0f", extra, first, most)
		}
	})
}

func TestGate(t *testing.T) {
	Convey("A gate for 9 requests of 3 priorities", t, func() {
		time := &manualClock{now: Minute}
		gate := NewGate(time.clock(), 9, 3)
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
		Convey("always admits the least", func() {
			for range 200 {
				gate.Enter(ctx, 2, 9, 0)
				time.now += 100
				gate.Leave(10, true)
			}
			So(gate.Enter(ctx, 0, 9, 0), ShouldBeTrue)
			for range int(GateLeast) - 1 {
				So(gate.Enter(ctx, 2, 9, 0), ShouldBeTrue)
			}
			So(gate.Enter(ctx, 2, 9, 0), ShouldBeFalse)
		})
		Convey("admits fewer when answers take longer than without load", func() {
			gate.Enter(ctx, 2, 9, 0)
			gate.Leave(10, false)
			for range 50 {
				gate.Enter(ctx, 2, 9, 0)
				time.now += 100
				gate.Leave(40, false)
			}
			So(gate.State().Limit, ShouldBeLessThan, 3)
		})
		Convey("does not admit fewer after one very late answer", func() {
			gate.Enter(ctx, 2, 9, 0)
			gate.Leave(10, false)
			gate.Enter(ctx, 2, 9, 0)
			gate.Leave(1000, false)
			So(gate.State().Limit, ShouldBeGreaterThanOrEqualTo, 9)
		})
		Convey("turns away a waiter of a lower priority for one of a higher", func() {
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

// waiting returns the priorities of those who wait.
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
		time := &manualClock{now: Minute}
		log := NewFactLog(time.clock())
		So(log.Merge(NewLeavingFact("u0", 2)), ShouldBeTrue)
		cases := []struct {
			name string
			fact Fact
			news bool
		}{
			{"the same again is no news", NewLeavingFact("u0", 2), false},
			{"an older incarnation is no news", NewLeavingFact("u0", 1), false},
			{"a newer incarnation is news", NewLeavingFact("u0", 3), true},
			{"another upstream is news", NewLeavingFact("u1", 1), true},
			{"what is too old is no news", Fact{Kind: FactUpstreamLeaving, Subject: "u9", Stamp: 1, Age: LeavingTTLMillis + 1}, false},
		}
		for _, tc := range cases {
			Convey(tc.name, func() {
				So(log.Merge(tc.fact), ShouldEqual, tc.news)
			})
		}
		Convey("a peer is sent only what is new to it", func() {
			_, seen := log.Since(0)
			log.Merge(NewLeavingFact("u1", 1))
			facts, _ := log.Since(seen)
			So(facts, ShouldHaveLength, 1)
			So(facts[0].Subject, ShouldEqual, "u1")
		})
		Convey("it is forgotten after its time", func() {
			time.now += LeavingTTLMillis + 1
			facts, _ := log.Since(0)
			So(facts, ShouldBeEmpty)
		})
		Convey("it never holds more than its bound", func() {
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
		time := &manualClock{now: Minute}
		var told []Fact
		q := NewQuarantine(time.clock(), func(fact Fact) { told = append(told, fact) })
		Convey("a suspect that survives alone is cleared", func() {
			q.Suspect("f")
			So(q.Verdict("f"), ShouldEqual, VerdictSuspect)
			q.Clear("f")
			So(q.Verdict("f"), ShouldEqual, VerdictCleared)
			So(told, ShouldHaveLength, 2)
		})
		Convey("crashes alone convict", func() {
			for range ConvictAfterCrashes - 1 {
				So(q.Crash("f"), ShouldEqual, VerdictSuspect)
			}
			So(q.Crash("f"), ShouldEqual, VerdictConvicted)
		})
		Convey("crashes at two instances add up", func() {
			other := NewQuarantine(time.clock(), func(Fact) {})
			q.Crash("f")
			other.Apply(told[0])
			So(other.Crash("f"), ShouldEqual, VerdictConvicted)
		})
		Convey("a verdict lapses", func() {
			q.Suspect("f")
			time.now += VerdictTTLMillis + 1
			So(q.Verdict("f"), ShouldEqual, VerdictNone)
		})
		Convey("an older verdict does not replace a newer one", func() {
			q.Suspect("f")
			time.now += 10
			q.Clear("f")
			q.Apply(told[0])
			So(q.Verdict("f"), ShouldEqual, VerdictCleared)
		})
	})
}

func TestPauseGuard(t *testing.T) {
	Convey("Given a guard", t, func() {
		time := &manualClock{now: Minute}
		renewed := make(chan struct{}, 4)
		release := make(chan struct{})
		guard := NewPauseGuard(time.clock(), NewCounters(), func(context.Context) {
			renewed <- struct{}{}
			<-release
		})
		Convey("without a gap work goes on", func() {
			time.now += PauseThresholdMillis
			So(guard.Await(context.Background()), ShouldBeNil)
			So(renewed, ShouldBeEmpty)
		})
		Convey("after a gap work waits for the renewal, by the clock alone", func() {
			time.now += PauseThresholdMillis + 1
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
				t.Fatalf("%d links", len(links[self]))
			}
		}
		if hops := hopsFrom(links, all[0], count); hops < 0 || hops > 9 {
			t.Fatalf("%d instances need %d hops", count, hops)
		}
	})
}

func without(all []string, self string) []string {
	var others []string
	for _, a := range all {
		if a != self {
			others = append(others, a)
		}
	}
	return others
}

// hopsFrom returns in how many hops news reaches all, or -1 if it does not.
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
