package core

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// stubProbeClient ends every probe alike.
type stubProbeClient struct {
	err error
}

func (p stubProbeClient) Probe(context.Context, Target) (UpstreamStatus, error) {
	return UpstreamStatus{Incarnation: 1, Phase: PhaseLive}, p.err
}

func (stubProbeClient) Retain(Set[string]) {}

// TestProbesOfSuspects covers an upstream that lost a connection: whether it may be
// used at all depends on what a probe finds.
func TestProbesOfSuspects(t *testing.T) {
	cases := []struct {
		name      string
		err       error
		suspect   bool
		reachable int
	}{
		{"it answers", nil, false, 1},
		{"it can't be connected to", &AttemptError{Kind: FailureNotSent}, true, 0},
		{"it is silent", &AttemptError{Kind: FailureTimeout}, true, 0},
		{"it says that it is not healthy", &AttemptError{Kind: FailureError}, true, 0},
		{"it breaks off: it is there, and loses answers", &AttemptError{Kind: FailureLost}, true, 1},
		{"all connections are in use", &AttemptError{Kind: FailureNotSent, Cause: ErrNoFreeConnection}, true, 1},
	}
	Convey("After a probe that finds that", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				f := newFleetFixture(1)
				permit, err := f.acquire(Want{})
				So(err, ShouldBeNil)
				permit.Fail(&AttemptError{Kind: FailureLost})
				So(f.fleet.Suspects(), ShouldHaveLength, 1)
				prober := NewProber(f.clock.clock(), f.fleet, stubProbeClient{err: tc.err})
				prober.probe(context.Background(), f.fleet.Targets()[0])
				So(len(f.fleet.Suspects()) == 1, ShouldEqual, tc.suspect)
				So(f.fleet.ReachableServices([]string{"s"}), ShouldEqual, tc.reachable)
			})
		}
	})
}
