package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLagMeter(t *testing.T) {
	Convey("Given a lag meter", t, func() {
		clock := &manualClock{now: Minute}
		meter := NewLagMeter(clock.clock())
		Convey("timers that are slightly late are not an overload", func() {
			for range 100 {
				meter.Observe(5)
			}
			So(meter.Overloaded(), ShouldBeFalse)
		})
		Convey("a single late timer is not an overload", func() {
			meter.Observe(30)
			So(meter.Overloaded(), ShouldBeFalse)
		})
		Convey("timers that stay late are an overload, which is held for a while", func() {
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
		Convey("a suspension of the process is not lag", func() {
			meter.Observe(PauseThresholdMillis + 1)
			So(meter.Lag(), ShouldEqual, 0)
		})
	})
}
