package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestRetryBudget(t *testing.T) {
	Convey("Given a retry budget with ratio 0.2 and slack 40 for two instances", t, func() {
		clock := &manualClock{now: Minute}
		budget := NewRetryBudget(clock.clock(), RetryBudgetLimit{Ratio: 0.2, Slack: 40, Window: 10 * Second}, 2)
		spend := func(fraction float64) int {
			count := 0
			for budget.Spend("s", fraction) {
				count++
			}
			return count
		}
		Convey("a quarter of the slack is available without any request", func() {
			So(spend(1), ShouldEqual, 10)
		})
		Convey("each first request adds the ratio", func() {
			for range 100 {
				budget.Earn("s")
			}
			So(spend(1), ShouldEqual, 30)
		})
		Convey("a use with a smaller fraction leaves the rest to other uses", func() {
			for range 100 {
				budget.Earn("s")
			}
			So(spend(HedgeBudgetFraction), ShouldEqual, 27)
			So(spend(1), ShouldEqual, 3)
		})
		Convey("repeats count until the end of the window", func() {
			spend(1)
			clock.now += 10 * Second
			So(spend(1), ShouldEqual, 0)
			clock.now += Second
			So(spend(1), ShouldEqual, 10)
		})
		Convey("each service has its own retry budget", func() {
			spend(1)
			So(budget.Spend("other", 1), ShouldBeTrue)
		})
		Convey("a refunded repeat can be spent again", func() {
			spend(1)
			budget.Refund("s")
			So(spend(1), ShouldEqual, 1)
		})
		Convey("after a restart, the slack is available once it is released, and grows over a window", func() {
			budget.WithholdSlack()
			So(spend(1), ShouldEqual, 0)
			budget.ReleaseSlack()
			clock.now += 5 * Second
			So(spend(1), ShouldEqual, 5)
			budget.ReleaseSlack()
			clock.now += 5 * Second
			So(spend(1), ShouldEqual, 5)
		})
		Convey("the share of the slack shrinks with more instances", func() {
			budget.Resize(8)
			So(spend(1), ShouldEqual, 2)
		})
	})
}

// TestRetryBudgetsOfAllInstancesStayWithinLimit simulates instances with uneven traffic
// that send as many repeats as they may, and that are started again and again: a new process
// knows nothing of the repeats before. In every sliding window, the repeats of all instances
// together must stay within the limit.
func TestRetryBudgetsOfAllInstancesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * Second
		limit := RetryBudgetLimit{Ratio: 0.2, Slack: 52, Window: window}
		clock := &manualClock{now: Minute}
		instances := make([]*RetryBudget, rapid.IntRange(1, 9).Draw(t, "instances"))
		for i := range instances {
			instances[i] = NewRetryBudget(clock.clock(), limit, len(instances))
		}
		type event struct {
			at     Millis
			repeat bool
		}
		var events []event
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			clock.now += Millis(rapid.IntRange(1, 1500).Draw(t, "pause"))
			instance := rapid.IntRange(0, len(instances)-1).Draw(t, "instance")
			if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
				instances[instance] = NewRetryBudget(clock.clock(), limit, len(instances))
				instances[instance].WithholdSlack()
				instances[instance].ReleaseSlack()
			}
			budget := instances[instance]
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				budget.Earn("s")
				events = append(events, event{clock.now, false})
			}
			for range rapid.IntRange(0, 60).Draw(t, "repeats") {
				if budget.Spend("s", 1) {
					events = append(events, event{clock.now, true})
				}
			}
		}
		count := func(end Millis, repeat bool) int {
			total := 0
			for _, e := range events {
				if e.at <= end && e.at > end-window && e.repeat == repeat {
					total++
				}
			}
			return total
		}
		for _, end := range events {
			repeats := count(end.at, true)
			// The limit is measured against the most requests in this window, the window
			// before it, or the window that begins half a window earlier.
			requests := max(count(end.at, false), count(end.at-window/2, false), count(end.at-window, false))
			if allowed := limit.Ratio*float64(requests) + limit.Slack; float64(repeats) > allowed {
				t.Fatalf("%d repeats of %d requests in a window, want at most %.1f", repeats, requests, allowed)
			}
		}
	})
}
