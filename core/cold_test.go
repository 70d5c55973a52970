package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestColdStatements covers which statements begin, lengthen and shorten a cold period. It guards
// against an old entry or a late reply that ends one too early.
func TestColdStatements(t *testing.T) {
	cases := []struct {
		name string
		// state is what is known at time 1000 about an upstream that is seen since 400.
		state     coldState
		remaining Millis
		source    coldSource
		sentAt    Millis
		until     Millis
	}{
		{"nothing is known, and the list says cold", coldState{}, 500, coldFromList, 1000, 1500},
		{"nothing is known, and the list says warm", coldState{}, 0, coldFromList, 1000, 0},
		{"a warm upstream turns cold", coldState{known: true, until: 600}, 500, coldFromUpstream, 990, 1500},
		{"a later end", coldState{known: true, until: 1200}, 500, coldFromPeer, 1000, 1500},
		{"an earlier end in the list, after a response", coldState{known: true, until: 2000}, 0, coldFromList, 1000, 2000},
		{"an earlier end in the list, after another entry", coldState{known: true, until: 2000, listOnly: true}, 0, coldFromList, 1000, 1000},
		{"an earlier end from a peer", coldState{known: true, until: 2000, listOnly: true}, 100, coldFromPeer, 1000, 2000},
		{"an earlier end in a response", coldState{known: true, until: 2000, statedAt: 900}, 100, coldFromUpstream, 950, 1100},
		{"an earlier end in a reply to a request from before the last statement", coldState{known: true, until: 2000, statedAt: 900}, 0, coldFromUpstream, 850, 2000},
		{"warm in a response", coldState{known: true, until: 2000, statedAt: 900}, 0, coldFromUpstream, 950, 1000},
		{"still warm in a response", coldState{known: true, until: 600}, 0, coldFromUpstream, 950, 600},
	}
	Convey("A statement", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				cold := tc.state
				cold.perSecond, cold.since = 4, 400
				cold.learn(tc.remaining, tc.source, tc.sentAt, 1000)
				So(cold.end(), ShouldEqual, tc.until)
			})
		}
	})
	Convey("An upstream about which nothing is known is cold", t, func() {
		Convey("for its time of start", func() {
			cold := coldState{perSecond: 4, start: 700, since: 400}
			So(cold.active(1000), ShouldBeTrue)
			So(cold.active(1100), ShouldBeFalse)
		})
		Convey("until something is known, if that is not set", func() {
			cold := coldState{perSecond: 4, since: 400}
			So(cold.active(100*Minute), ShouldBeTrue)
		})
		Convey("unless its service has no bound", func() {
			cold := coldState{start: 700, since: 400}
			So(cold.active(1000), ShouldBeFalse)
		})
	})
}

// newColdFixture returns a fleet with a bound whose upstreams tolerate 4 requests a second while they
// are cold, and the changes that it reports. The list says that they are warm.
func newColdFixture(replicas int) (*fleetFixture, *[]ColdChange) {
	f := newFleetFixture(replicas)
	f.fleet.SetColdBound(testColdBound)
	changes := &[]ColdChange{}
	f.fleet.OnColdChange(func(change ColdChange) { *changes = append(*changes, change) })
	configuration := singleServiceConfiguration(replicas, 2, 24, 12)
	configuration.Services[0].ColdPerSecond, configuration.Services[0].ColdStart = 4, 10*Second
	f.fleet.Apply(configuration)
	for _, upstream := range configuration.Services[0].Upstreams {
		f.fleet.ObserveListedCold(Member{Name: upstream.Name, Incarnation: 1})
	}
	return f, changes
}

// coldSignals are the signals of an upstream that remains cold for the given time.
func coldSignals(remaining Millis) UpstreamSignals {
	return UpstreamSignals{Cold: ColdStatement{Kind: ColdStated, Remaining: remaining}}
}

// TestColdReplica covers what an instance does with a cold upstream. It guards against permits and
// tokens from the time before it turned cold, and against facts that are lost or repeated.
func TestColdReplica(t *testing.T) {
	Convey("Given a fleet of two warm replicas with a bound", t, func() {
		f, changes := newColdFixture(2)
		toU0 := Want{NoWait: true, Exclude: NewSet("u1")}
		chill := func() { f.fleet.RecordSignals("u0", 1, coldSignals(5*Second), f.clock.now) }
		grant := func(perSecond float64) {
			f.fleet.AddTokens([]TokenWant{{Upstream: "u0", PerSecond: perSecond, Count: 1}}, []TokenGrant{{Upstream: "u0", Count: 1}}, f.clock.now)
		}
		Convey("none needs a token", func() {
			_, err := f.acquire(toU0)
			So(err, ShouldBeNil)
			So(*changes, ShouldBeEmpty)
		})
		Convey("a permit from before the upstream turned cold is not used", func() {
			permit, err := f.acquire(toU0)
			So(err, ShouldBeNil)
			So(permit.Sendable(), ShouldBeTrue)
			chill()
			So(permit.Sendable(), ShouldBeFalse)
		})
		Convey("a cold one gets a request for each token, which expires", func() {
			chill()
			_, err := f.acquire(toU0)
			So(err, ShouldEqual, ErrNoReplica)
			grant(4)
			permit, err := f.acquire(toU0)
			So(err, ShouldBeNil)
			So(permit.Sendable(), ShouldBeTrue)
			f.clock.now += ColdTokenTTLMillis
			So(permit.Sendable(), ShouldBeFalse)
		})
		Convey("a probe of a cold one needs a token, too", func() {
			chill()
			So(f.fleet.AdmitProbe("u0"), ShouldBeFalse)
			grant(4)
			So(f.fleet.AdmitProbe("u0"), ShouldBeTrue)
		})
		Convey("a cold one is not explored without a token", func() {
			chill()
			f.clock.now += ExploreIntervalMillis - Second
			So(f.fleet.Explore(Want{Service: "s", Exclude: NewSet("u1")}), ShouldBeNil)
		})
		Convey("tokens that were granted by a higher limit are not used", func() {
			f.fleet.ApplyLimit(Fact{Subject: "u0", Stamp: 1, Incarnation: 1, Limited: true, LimitPerSecond: 60})
			grant(60)
			chill()
			grant(60)
			_, err := f.acquire(toU0)
			So(err, ShouldEqual, ErrNoReplica)
		})
		Convey("the lower one of two limits applies", func() {
			chill()
			f.fleet.ApplyLimit(Fact{Subject: "u0", Stamp: 1, Incarnation: 1, Limited: true, LimitPerSecond: 60})
			f.fleet.wantToken(f.fleet.replicas["u0"])
			wants := f.fleet.TakeTokenWants(func(string) bool { return true })
			So(wants["z0"], ShouldResemble, []TokenWant{{Upstream: "u0", PerSecond: 4, Count: 1}})
		})
		Convey("one change and one fact are reported for each cold period", func() {
			chill()
			f.clock.now += 100
			f.fleet.RecordSignals("u0", 1, coldSignals(4900), f.clock.now)
			So(*changes, ShouldHaveLength, 1)
			So((*changes)[0], ShouldResemble, ColdChange{Name: "u0", Service: "s", PerSecond: Some(4.0), Remaining: 5 * Second, Source: "upstream"})
			So(f.facts, ShouldHaveLength, 1)
			So(f.facts[0].ColdRemaining, ShouldEqual, 5*Second)
			f.clock.now += 5 * Second
			f.fleet.endCold("u0")
			So(*changes, ShouldHaveLength, 2)
			So((*changes)[1].PerSecond, ShouldResemble, None[float64]())
		})
		Convey("a fact makes it cold for what remains, and is not published again", func() {
			f.fleet.ApplyCold(Fact{Kind: FactUpstreamCold, Subject: "u0", Stamp: 9, Incarnation: 1, ColdRemaining: 3 * Second, Age: Second})
			So(f.fleet.State()[0].ColdRemaining, ShouldEqual, 2*Second)
			So(f.facts, ShouldBeEmpty)
		})
		Convey("a fact that has run out or is about an earlier incarnation changes nothing", func() {
			f.fleet.ApplyCold(Fact{Kind: FactUpstreamCold, Subject: "u0", Stamp: 9, Incarnation: 1, ColdRemaining: Second, Age: Second})
			f.fleet.Observe("u0", liveStatus(2, 1))
			f.fleet.ObserveListedCold(Member{Name: "u0", Incarnation: 2})
			f.fleet.ApplyCold(Fact{Kind: FactUpstreamCold, Subject: "u0", Stamp: 10, Incarnation: 1, ColdRemaining: Minute})
			So(f.fleet.State()[0].ColdLimit, ShouldResemble, None[float64]())
		})
		Convey("a new incarnation is cold for its time of start", func() {
			f.fleet.Observe("u0", liveStatus(2, 1))
			So(f.fleet.State()[0].ColdRemaining, ShouldEqual, 10*Second)
			So(*changes, ShouldHaveLength, 1)
		})
		Convey("an entry that can't be read is reported and changes nothing", func() {
			var invalid []string
			f.fleet.OnInvalidSignals(func(name string, fields []string) { invalid = append(invalid, name+" "+fields[0]) })
			chill()
			f.fleet.ObserveListedCold(Member{Name: "u0", Incarnation: 1, SlowStartRemaining: -1})
			So(f.fleet.State()[0].ColdRemaining, ShouldEqual, 5*Second)
			So(invalid, ShouldResemble, []string{"u0 slowStartRemaining"})
		})
		Convey("requests are rejected with the time of the next token while all are cold", func() {
			for _, name := range []string{"u0", "u1"} {
				f.fleet.RecordSignals(name, 1, coldSignals(5*Second), f.clock.now)
				f.fleet.AddTokens([]TokenWant{{Upstream: name, PerSecond: 4, Count: 1}}, []TokenGrant{{Upstream: name, Wait: 250}}, f.clock.now)
			}
			_, err := f.acquire(Want{WaitUntil: f.clock.now + 80})
			So(err, ShouldResemble, &LimitedError{Wait: 250})
		})
		Convey("the concurrency limit rises gradually after a cold period", func() {
			r := f.fleet.replicas["u0"]
			r.share, r.limit = 8, 8
			f.fleet.RecordSignals("u0", 1, coldSignals(Second), f.clock.now)
			f.clock.now += Second
			So(r.rampedCapacity(f.clock.now), ShouldEqual, 2)
			So(r.rampedCapacity(f.clock.now+SlowStartMillis/2), ShouldEqual, 5)
			So(r.rampedCapacity(f.clock.now+SlowStartMillis), ShouldEqual, 8)
			So(r.score("z0", 10, f.clock.now), ShouldBeGreaterThan, r.score("z0", 10, f.clock.now+SlowStartMillis))
		})
	})
}

// TestRosterColdNews guards against an entry that the list repeats unchanged and that makes an upstream
// cold again each time.
func TestRosterColdNews(t *testing.T) {
	roster := NewRoster((&manualClock{now: Minute}).clock())
	cold := upstreamMember("a", 1)
	cold.SlowStartRemaining = 500
	steps := []struct {
		member Member
		news   int
	}{{cold, 1}, {cold, 0}, {upstreamMember("a", 1), 1}, {upstreamMember("a", 1), 0}, {upstreamMember("a", 2), 1}}
	for number, step := range steps {
		roster.Update(newInstanceList(uint64(number+1), step.member))
		if news := roster.TakeColdNews(); len(news) != step.news {
			t.Errorf("step %d: %d entries with news, want %d", number, len(news), step.news)
		}
	}
}
