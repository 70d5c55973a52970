package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLagMeter(t *testing.T) {
	Convey("Given a meter", t, func() {
		clock := &manualClock{now: Minute}
		meter := NewLagMeter(clock.clock())
		Convey("timers that fire a little late are no overload", func() {
			for range 100 {
				meter.Observe(5)
			}
			So(meter.Overloaded(), ShouldBeFalse)
		})
		Convey("one late timer is none either", func() {
			meter.Observe(30)
			So(meter.Overloaded(), ShouldBeFalse)
		})
		Convey("timers that stay late are, and for a while after", func() {
			for range 4 {
				meter.Observe(60)
			}
			So(meter.Overloaded(), ShouldBeTrue)
			for range 20 {
				meter.Observe(0)
			}
			So(meter.Lag(), ShouldBeLessThan, 1)
			So(meter.Overloaded(), ShouldBeTrue)
			clock.now += OverloadHoldMillis
			So(meter.Overloaded(), ShouldBeFalse)
		})
		Convey("a suspension of the process is no lag", func() {
			meter.Observe(PauseThresholdMillis + 1)
			So(meter.Lag(), ShouldEqual, 0)
		})
	})
}
