package core

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// stubProbeClient returns a live status and the same error for every probe.
type stubProbeClient struct {
	err error
}

func (p stubProbeClient) Probe(context.Context, Target) (UpstreamStatus, error) {
	return UpstreamStatus{Incarnation: 1, Phase: PhaseLive}, p.err
}

func (stubProbeClient) Retain(Set[string]) {}

// TestProbesOfSuspects checks the state of an upstream after it lost a connection and was
// then probed. It may get no more requests if the probe finds that it can't be reached, does
// not answer or is unhealthy. After an inconclusive probe it may still get them.
func TestProbesOfSuspects(t *testing.T) {
	cases := []struct {
		name      string
		err       error
		suspect   bool
		reachable int
	}{
		{"the upstream answers", nil, false, 1},
		{"the connection can't be opened", &AttemptError{Kind: FailureNotSent}, true, 0},
		{"the upstream does not answer in time", &AttemptError{Kind: FailureTimeout}, true, 0},
		{"the upstream reports that it is unhealthy", &AttemptError{Kind: FailureError}, true, 0},
		{"the connection breaks, so the upstream is reachable but loses answers", &AttemptError{Kind: FailureLost}, true, 1},
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
