package core

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// capacityCase is a load, the window that is judged, and bounds on what it may give with the
// estimate. Bounds that are 0 are not checked.
type capacityCase struct {
	capacityLoad
	from, to float64
	// minShare and maxShare bound the share of all requests that u2 gets.
	minShare, maxShare float64
	// maxFailed is the largest fraction of requests that upstreams or the instance may reject,
	// and maxP99 the longest 99th percentile, in milliseconds.
	maxFailed, maxP99 float64
	// keep restricts the requests that are judged.
	keep func(modelResult) bool
}

// sharedMachines returns the loads of three upstreams with sharedMachine, which either report
// the slowdown or don't.
func sharedMachines(reported bool) func() []*modelUpstream {
	return func() []*modelUpstream {
		upstreams := threeUpstreams(steady(1), steady(1), steady(1))()
		for i, u := range upstreams {
			slowdown := sharedMachine(5000 * float64(i))
			if reported {
				u.slowdown = slowdown
			} else {
				u.pace = func(now float64, _ int) float64 { return slowdown(now) }
			}
		}
		return upstreams
	}
}

// mixedKinds returns requests of 4 ms, and later mostly of 15 ms.
func mixedKinds(now float64, random *rand.Rand) modelKind {
	long := 0.1
	if now > 6000 {
		long = 0.9
	}
	if random.Float64() < long {
		return modelKind{name: "long", work: 15}
	}
	return modelKind{name: "short", work: 4}
}

// capacityCases returns the loads of the verification in docs/design/hard-load.md. An upstream of
// pace 1 runs 800 requests of 10 ms per second. The share that an upstream handles well is its
// part of what all of them can run.
func capacityCases() []capacityCase {
	one := steady(1)
	speeds := threeUpstreams(one, steady(2), steady(4))
	half := threeUpstreams(one, one, slowsAtHalf)
	noise := threeUpstreams(one, one, burst(5000, 5600, 4))
	stepUp := threeUpstreams(one, one, stepAt(6000, 3, 1))
	stepDown := threeUpstreams(one, one, stepAt(6000, 1, 3))
	allSlow := threeUpstreams(stepAt(6000, 1, 2), stepAt(6000, 1, 2), stepAt(6000, 1, 2))
	// slowShare is what an upstream that is three times as slow as two others handles well.
	const slowShare = 1.0 / 7
	return []capacityCase{
		{capacityLoad: capacityLoad{name: "three speeds", instances: 20, perSecond: 1150, millis: 12000, upstreams: speeds},
			from: 4000, to: 12000, minShare: 0.02, maxShare: slowShare, maxFailed: 0.001},
		{capacityLoad: capacityLoad{name: "one slows at half its slots", instances: 150, perSecond: 1700, millis: 12000, upstreams: half},
			from: 4000, to: 12000, maxShare: 0.2, maxFailed: 0.0015, maxP99: 30},
		{capacityLoad: capacityLoad{name: "noisy neighbour, after it", instances: 20, perSecond: 1400, millis: 8000, upstreams: noise},
			from: 6100, to: 7100, minShare: 0.8 / 3, maxP99: 17},
		{capacityLoad: capacityLoad{name: "noisy neighbour, while it lasts", instances: 20, perSecond: 1400, millis: 8000, upstreams: noise},
			from: 5000, to: 5600, maxShare: 1.0 / 9, maxFailed: 0.001},
		{capacityLoad: capacityLoad{name: "step up", instances: 20, perSecond: 700, millis: 12000, upstreams: stepUp},
			from: 9000, to: 12000, minShare: 0.75 / 3},
		{capacityLoad: capacityLoad{name: "step up, heavy load", instances: 20, perSecond: 1500, millis: 12000, upstreams: stepUp},
			from: 9000, to: 12000, minShare: 0.9 / 3},
		{capacityLoad: capacityLoad{name: "step down", instances: 20, perSecond: 1500, millis: 12000, upstreams: stepDown},
			from: 9000, to: 12000, maxShare: slowShare, maxFailed: 0.001, maxP99: 60},
		{capacityLoad: capacityLoad{name: "all slow at once", instances: 20, perSecond: 700, millis: 12000, upstreams: allSlow},
			from: 6000, to: 12000, minShare: 0.8 / 3, maxShare: 1.2 / 3, maxFailed: 0.0001},
		{capacityLoad: capacityLoad{name: "many weak instances, one slow", instances: 150, perSecond: 450, millis: 16000, upstreams: threeUpstreams(one, one, steady(3))},
			from: 6000, to: 16000, maxShare: slowShare / 2, maxP99: 30},
		{capacityLoad: capacityLoad{name: "many weak instances, step up", instances: 150, perSecond: 450, millis: 12000, upstreams: stepUp},
			from: 9000, to: 12000, minShare: 0.6 / 3},
		{capacityLoad: capacityLoad{name: "many weak instances, step down", instances: 150, perSecond: 450, millis: 12000, upstreams: stepDown},
			from: 9000, to: 12000, maxShare: slowShare},
		{capacityLoad: capacityLoad{name: "shared machines, reported", instances: 150, perSecond: 900, millis: 30000, upstreams: sharedMachines(true)},
			from: 4000, to: 30000, maxFailed: 0.001, maxP99: 70},
		{capacityLoad: capacityLoad{name: "shared machines, not reported", instances: 150, perSecond: 900, millis: 30000, upstreams: sharedMachines(false)},
			from: 4000, to: 30000, maxFailed: 0.002, maxP99: 90},
		{capacityLoad: capacityLoad{name: "pauses", instances: 20, perSecond: 900, millis: 16000, upstreams: threeUpstreams(pauses(0), pauses(1200), pauses(2400))},
			from: 4000, to: 16000, minShare: 0.2, maxFailed: 0.0001},
		{capacityLoad: capacityLoad{name: "slow in the largest zone", instances: 20, perSecond: 700, millis: 12000, zoned: true, upstreams: threeUpstreams(one, one, steady(4))},
			from: 4000, to: 12000, maxShare: 1.0 / 9, maxP99: 30},
		{capacityLoad: capacityLoad{name: "step up in the largest zone", instances: 150, perSecond: 700, millis: 12000, zoned: true, upstreams: threeUpstreams(one, one, stepAt(6000, 4, 1))},
			from: 9000, to: 12000, minShare: 0.4},
		{capacityLoad: capacityLoad{name: "the mix changes", instances: 150, perSecond: 900, millis: 12000, upstreams: threeUpstreams(one, one, one), kind: mixedKinds},
			from: 6000, to: 9000, minShare: 0.8 / 3, maxShare: 1.2 / 3, maxP99: 25},
		{capacityLoad: capacityLoad{name: "an instance starts", instances: 20, perSecond: 700, millis: 9000, startAt: 6000, upstreams: threeUpstreams(one, one, steady(3))},
			from: 6000, to: 9000, maxShare: slowShare, keep: func(r modelResult) bool { return r.instance == 0 }},
	}
}

// TestCapacityLoads guards against an upstream that gets more than it handles well, or that stays
// out of use after it has recovered. Its log has the figures of docs/design/upstream-capacity.md.
func TestCapacityLoads(t *testing.T) {
	for _, c := range capacityCases() {
		t.Run(c.name, func(t *testing.T) {
			without := newCapacityModel(c.capacityLoad, false).run().summarize(c.from, c.to, c.keep)
			with := newCapacityModel(c.capacityLoad, true).run().summarize(c.from, c.to, c.keep)
			t.Logf("without: %s", without)
			t.Logf("with:    %s", with)
			if fault := c.fault(without); fault != "" {
				t.Logf("without the estimate the bounds are broken: %s", fault)
			}
			if fault := c.fault(with); fault != "" {
				t.Error(fault)
			}
		})
	}
}

// TestCapacityEstimate covers the estimate of single upstreams.
func TestCapacityEstimate(t *testing.T) {
	newEstimated := func(replicas int) *fleetFixture {
		f := &fleetFixture{clock: &manualClock{now: 100 * Minute}}
		f.fleet = NewFleet(f.clock.clock(), "z", Policy{EstimateCapacity: true}, func(Fact) {})
		f.fleet.random = func() float64 { return 0 }
		configuration := singleServiceConfiguration(replicas, 8, 8, 1)
		for i := range configuration.Services[0].Upstreams {
			configuration.Services[0].Upstreams[i].Zone = "z"
		}
		f.fleet.Apply(configuration)
		for _, state := range f.fleet.State() {
			f.fleet.Observe(state.Name, liveStatus(1))
		}
		f.clock.now += Minute
		return f
	}
	// request sends a request of a kind to an upstream, which takes the given time.
	request := func(f *fleetFixture, name, kind string, latency Millis, load Option[UpstreamLoad]) {
		exclude := NewSet[string]()
		for _, state := range f.fleet.State() {
			if state.Name != name {
				exclude.Add(state.Name)
			}
		}
		permit, err := f.acquire(Want{Kind: kind, Exclude: exclude})
		if err != nil {
			t.Fatal(err)
		}
		f.clock.now += latency
		permit.RecordLoad(load)
		permit.Complete()
	}
	estimateOf := func(f *fleetFixture, name string) *capacityEstimate { return f.fleet.replicas[name].estimate }
	speedOf := func(f *fleetFixture, name string) float64 {
		return estimateOf(f, name).speed.expected(f.fleet.services["s"].usual.paceOrDefault(), f.clock.now)
	}
	idle := Some(UpstreamLoad{Running: 1, Slots: 8})

	Convey("A change of the mix of requests is not a change of speed", t, func() {
		f := newEstimated(2)
		for range 200 {
			request(f, "u0", "short", 4, idle)
			request(f, "u1", "short", 4, idle)
			request(f, "u1", "long", 15, idle)
		}
		// From now on, u0 gets long requests only.
		for range 200 {
			request(f, "u0", "long", 15, idle)
			request(f, "u1", "short", 4, idle)
		}
		So(speedOf(f, "u0")/speedOf(f, "u1"), ShouldBeBetween, 0.8, 1.25)
	})
	Convey("An upstream that was never measured is expected to be as fast as is usual", t, func() {
		f := newEstimated(3)
		for range 50 {
			request(f, "u0", "k", 10, idle)
		}
		permit, err := f.acquire(Want{Kind: "k", Exclude: NewSet("u0")})
		So(err, ShouldBeNil)
		permit.Release()
		So(speedOf(f, "u1"), ShouldAlmostEqual, speedOf(f, "u0"), 0.1)
	})
	Convey("An old report of a load decays to what is usual at the service", t, func() {
		f := newEstimated(2)
		for range 100 {
			request(f, "u0", "k", 10, Some(UpstreamLoad{Running: 2, Slots: 8}))
			request(f, "u1", "k", 10, Some(UpstreamLoad{Running: 2, Slots: 8}))
		}
		request(f, "u0", "k", 10, Some(UpstreamLoad{Running: 8, Waiting: 8, Slots: 8}))
		loadOf := func() float64 {
			return estimateOf(f, "u0").expectedLoad(&f.fleet.services["s"].usual, 0, f.clock.now) - 1.0/8
		}
		So(loadOf(), ShouldBeGreaterThan, 1.5)
		f.clock.now += 300
		So(loadOf(), ShouldBeLessThan, 0.5)
		f.clock.now += 20 * Second
		So(loadOf(), ShouldAlmostEqual, f.fleet.services["s"].usual.load, 0.01)
	})
	Convey("The load at which latency rises is found", t, func() {
		f := newEstimated(1)
		random := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			running := 1 + random.IntN(8)
			latency := 10 * slowsAtHalf(0, running) * (0.8 + 0.4*random.Float64())
			request(f, "u0", "k", Millis(latency), Some(UpstreamLoad{Running: running, Slots: 8}))
		}
		state, _ := f.fleet.State()[0].Estimate.Get()
		So(state.RisesAt, ShouldBeBetween, 2.5, 5.5)
		So(state.Slope, ShouldBeBetween, 1.5, 4.5)
	})
	Convey("Noise at all loads is hardly ever taken for a rise", t, func() {
		rises := 0
		for seed := range uint64(20) {
			f := newEstimated(1)
			random := rand.New(rand.NewPCG(seed, 2))
			for range 300 {
				latency := 10 * (0.5 + random.Float64())
				request(f, "u0", "k", Millis(latency), Some(UpstreamLoad{Running: 1 + random.IntN(8), Slots: 8}))
			}
			if state, _ := f.fleet.State()[0].Estimate.Get(); state.RisesAt < 8 {
				rises++
			}
		}
		So(rises, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("A slowdown of all upstreams is not a slowdown of those that were measured since", t, func() {
		f := newEstimated(3)
		for range 100 {
			for _, name := range []string{"u0", "u1", "u2"} {
				request(f, name, "k", 10, idle)
			}
		}
		for range 50 {
			request(f, "u0", "k", 30, idle)
			request(f, "u1", "k", 30, idle)
		}
		So(speedOf(f, "u0")/f.fleet.services["s"].usual.pace, ShouldBeBetween, 0.8, 1.2)
		So(f.fleet.Explore(Want{Service: "s", Kind: "k"}), ShouldBeNil)
	})
	Convey("The estimate of an upstream that can't be explored decays to the median", t, func() {
		f := newEstimated(3)
		for range 50 {
			request(f, "u0", "k", 10, idle)
			request(f, "u1", "k", 10, idle)
			request(f, "u2", "k", 40, idle)
		}
		So(speedOf(f, "u2"), ShouldBeGreaterThan, 2*speedOf(f, "u0"))
		f.clock.now += EstimateHoldMillis + 4*EstimateHalfLifeMillis
		So(speedOf(f, "u2"), ShouldBeLessThan, 1.3*speedOf(f, "u0"))
	})
	Convey("A reported slowdown of the machine raises the expected latency and not the speed", t, func() {
		f := newEstimated(2)
		for range 100 {
			request(f, "u0", "k", 10, Some(UpstreamLoad{Running: 1, Slots: 8, Slowdown: Some(1.0)}))
			request(f, "u1", "k", 10, Some(UpstreamLoad{Running: 1, Slots: 8, Slowdown: Some(1.0)}))
		}
		for range 50 {
			request(f, "u0", "k", 40, Some(UpstreamLoad{Running: 1, Slots: 8, Slowdown: Some(4.0)}))
		}
		So(speedOf(f, "u0"), ShouldBeLessThan, 1.3)
		usual := &f.fleet.services["s"].usual
		So(estimateOf(f, "u0").expectedLatency(usual, 0, f.clock.now), ShouldBeGreaterThan, 2.5)
		So(estimateOf(f, "u1").expectedLatency(usual, 0, f.clock.now), ShouldBeLessThan, 1.3)
	})
	Convey("A new incarnation starts with the usual speed, whatever the earlier one was", t, func() {
		f := newEstimated(2)
		for range 50 {
			request(f, "u0", "k", 50, idle)
			request(f, "u1", "k", 10, idle)
		}
		old, err := f.acquire(Want{Kind: "k", Exclude: NewSet("u1")})
		So(err, ShouldBeNil)
		f.clock.now += 100
		f.fleet.Observe("u0", liveStatus(2))
		So(speedOf(f, "u0"), ShouldAlmostEqual, speedOf(f, "u1"), 0.1)
		// The reply to a request that was sent before the restart is not counted.
		old.Complete()
		So(estimateOf(f, "u0").speed.samples, ShouldEqual, 0)
	})
	Convey("An upstream that only its old estimate keeps from being selected is proposed for exploration", t, func() {
		f := newEstimated(2)
		for range 50 {
			request(f, "u0", "k", 10, idle)
			request(f, "u1", "k", 50, idle)
		}
		want := Want{Service: "s", Kind: "k", Exclude: NewSet("u0")}
		So(f.fleet.Explore(want), ShouldBeNil)
		f.clock.now += ExploreEstimateMillis + 1
		permit := f.fleet.Explore(want)
		So(permit, ShouldNotBeNil)
		So(permit.Target().Name, ShouldEqual, "u1")
		So(f.fleet.Explore(want), ShouldBeNil)
		Convey("and one fast reply corrects the estimate", func() {
			f.clock.now += 10
			permit.RecordLoad(idle)
			permit.Complete()
			So(speedOf(f, "u1"), ShouldBeLessThan, 1.3)
		})
	})
	Convey("Without the policy nothing is estimated", t, func() {
		f := newFleetFixture(2)
		permit, err := f.acquire(Want{})
		So(err, ShouldBeNil)
		permit.RecordLoad(idle)
		permit.Complete()
		for _, state := range f.fleet.State() {
			_, estimated := state.Estimate.Get()
			So(estimated, ShouldBeFalse)
		}
	})
}
