package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestLimitStatements covers which statements of replies begin, change and end a limit.
func TestLimitStatements(t *testing.T) {
	named := LimitStatement{Kind: LimitNamed, PerSecond: 4}
	cases := []struct {
		name      string
		limited   bool
		statement LimitStatement
		// sentAt is when the request was sent. The limit was last named at 1000.
		sentAt       Millis
		changed      bool
		limitedAfter bool
	}{
		{"a limit begins", false, named, 1200, true, true},
		{"the same limit again", true, named, 1200, false, true},
		{"another limit", true, LimitStatement{Kind: LimitNamed, PerSecond: 5}, 1200, true, true},
		{"no limit, known", false, LimitStatement{Kind: LimitNone}, 1200, false, false},
		{"the limit ends", true, LimitStatement{Kind: LimitNone}, 1200, true, false},
		{"a reply to a request sent before the limit was named", true, LimitStatement{Kind: LimitNone}, 900, false, true},
		{"a reply that says nothing", true, LimitStatement{}, 1200, false, true},
		{"a limit that can't be read", true, LimitStatement{Kind: LimitUnreadable}, 1200, false, true},
	}
	Convey("A request limit", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				limit := &upstreamLimit{limited: tc.limited, perSecond: 4, statedAt: 1000}
				So(limit.apply(tc.statement, tc.sentAt, 1300), ShouldEqual, tc.changed)
				So(limit.limited, ShouldEqual, tc.limitedAfter)
			})
		}
	})
}

// TestLimitFacts covers which facts of other instances apply, and what an instance publishes.
func TestLimitFacts(t *testing.T) {
	fact := Fact{Kind: FactUpstreamLimit, Subject: "u0", Stamp: 3, Incarnation: 1, Limited: true, LimitPerSecond: 4}
	Convey("Given a fleet of two live replicas", t, func() {
		f := newFleetFixture(2)
		limit := func() Option[float64] { return f.fleet.RequestLimit("u0") }
		Convey("a fact begins a limit, and a newer one ends it", func() {
			f.fleet.ApplyLimit(fact)
			So(limit(), ShouldResemble, Some(4.0))
			ended := fact
			ended.Stamp, ended.Limited = 4, false
			f.fleet.ApplyLimit(ended)
			So(limit(), ShouldResemble, None[float64]())
		})
		Convey("an older fact changes nothing", func() {
			f.fleet.ApplyLimit(fact)
			older := fact
			older.Stamp, older.LimitPerSecond = 2, 9
			f.fleet.ApplyLimit(older)
			So(limit(), ShouldResemble, Some(4.0))
		})
		Convey("a fact about an earlier incarnation changes nothing", func() {
			f.fleet.Observe("u0", liveStatus(2, 1))
			f.fleet.ApplyLimit(fact)
			So(limit(), ShouldResemble, None[float64]())
		})
		Convey("a new incarnation has no limit", func() {
			f.fleet.ApplyLimit(fact)
			f.fleet.Observe("u0", liveStatus(2, 1))
			So(limit(), ShouldResemble, None[float64]())
		})
		Convey("a fact about an upstream that is not known yet applies once it is", func() {
			later := fact
			later.Subject = "u2"
			f.fleet.ApplyLimit(later)
			f.fleet.Apply(singleServiceConfiguration(3, 2, 24, 12))
			f.fleet.Observe("u2", liveStatus(1, 1))
			_, err := f.acquire(Want{Exclude: NewSet("u0", "u1"), NoWait: true})
			So(err, ShouldEqual, ErrNoReplica)
		})
		Convey("a limit in a reply is published with a greater stamp, and repeated before it expires", func() {
			f.fleet.ApplyLimit(fact)
			f.fleet.AddTokens([]TokenWant{{Upstream: "u0", Count: 1}}, []TokenGrant{{Upstream: "u0", Count: 1}}, f.clock.now)
			permit, err := f.acquire(Want{Exclude: NewSet("u1"), NoWait: true})
			So(err, ShouldBeNil)
			permit.RecordLimit(LimitStatement{Kind: LimitNamed, PerSecond: 6})
			So(f.facts, ShouldHaveLength, 1)
			So(f.facts[0], ShouldResemble, Fact{
				Kind: FactUpstreamLimit, Subject: "u0", Stamp: 4, Incarnation: 1, Limited: true, LimitPerSecond: 6})
			permit.RecordLimit(LimitStatement{Kind: LimitNamed, PerSecond: 6})
			So(f.facts, ShouldHaveLength, 1)
			f.clock.now += FactTTLMillis / 2
			permit.RecordLimit(LimitStatement{Kind: LimitNamed, PerSecond: 6})
			So(f.facts, ShouldHaveLength, 2)
			So(f.facts[1].Stamp, ShouldEqual, 5)
		})
	})
}

// TestTokensOfFleet covers which requests use up tokens, and what happens without one.
func TestTokensOfFleet(t *testing.T) {
	fact := Fact{Kind: FactUpstreamLimit, Stamp: 1, Incarnation: 1, Limited: true, LimitPerSecond: 4}
	always := func(string) bool { return true }
	Convey("Given a fleet of two live replicas", t, func() {
		f := newFleetFixture(2)
		limitUpstreams := func(names ...string) {
			for _, name := range names {
				named := fact
				named.Subject = name
				f.fleet.ApplyLimit(named)
			}
		}
		grant := func(name string, count int, wait Millis) {
			f.fleet.AddTokens([]TokenWant{{Upstream: name, Count: 2}}, []TokenGrant{{Upstream: name, Count: count, Wait: wait}}, f.clock.now)
		}
		Convey("without a token, requests go to the other replica, and a token is requested", func() {
			limitUpstreams("u0")
			permit, err := f.acquire(Want{NoWait: true})
			So(err, ShouldBeNil)
			So(permit.Target().Name, ShouldEqual, "u1")
			So(f.fleet.TakeTokenWants(always), ShouldResemble, map[string][]TokenWant{"z0": {{Upstream: "u0", PerSecond: 4, Count: 1}}})
		})
		Convey("each token allows one request", func() {
			limitUpstreams("u0", "u1")
			grant("u0", 1, 250)
			_, err := f.acquire(Want{NoWait: true})
			So(err, ShouldBeNil)
			_, err = f.acquire(Want{NoWait: true})
			So(err, ShouldEqual, ErrNoReplica)
		})
		Convey("a token expires", func() {
			limitUpstreams("u0", "u1")
			grant("u0", 1, 250)
			f.clock.now += TokenTTLMillis
			_, err := f.acquire(Want{NoWait: true})
			So(err, ShouldEqual, ErrNoReplica)
		})
		Convey("a request is refused at once if no replica will have a token in time", func() {
			limitUpstreams("u0", "u1")
			grant("u0", 0, 300)
			grant("u1", 0, 200)
			_, err := f.acquire(Want{WaitUntil: f.clock.now + 80})
			So(err, ShouldResemble, &LimitedError{Wait: 200})
		})
		Convey("tokens end with the limit", func() {
			limitUpstreams("u0")
			grant("u0", 2, 250)
			ended := fact
			ended.Subject, ended.Stamp, ended.Limited = "u0", 2, false
			f.fleet.ApplyLimit(ended)
			So(f.fleet.State()[0].Tokens, ShouldEqual, 0)
			_, err := f.acquire(Want{NoWait: true, Exclude: NewSet("u1")})
			So(err, ShouldBeNil)
		})
		Convey("a used token is replaced at once, so that a high limit is used although others have room", func() {
			limitUpstreams("u0")
			for range 3 {
				elsewhere, err := f.acquire(Want{NoWait: true})
				So(err, ShouldBeNil)
				elsewhere.Release()
				So(f.fleet.TakeTokenWants(always), ShouldNotBeEmpty)
				grant("u0", 1, 250)
				limited, err := f.acquire(Want{NoWait: true, Exclude: NewSet("u1")})
				So(err, ShouldBeNil)
				limited.Release()
				f.clock.now += 250
			}
		})
		Convey("requests that do not wait ask for no more tokens than are prefetched", func() {
			limitUpstreams("u0", "u1")
			for range 3 {
				_, err := f.acquire(Want{NoWait: true})
				So(err, ShouldEqual, ErrNoReplica)
			}
			So(f.fleet.TakeTokenWants(always), ShouldHaveLength, 1)
			grant("u0", 0, 10)
			f.clock.now += 20
			_, err := f.acquire(Want{NoWait: true})
			So(err, ShouldEqual, ErrNoReplica)
			So(f.fleet.TakeTokenWants(always), ShouldBeEmpty)
		})
		Convey("a probe needs a token, too", func() {
			limitUpstreams("u0")
			So(f.fleet.AdmitProbe("u0"), ShouldBeFalse)
			So(f.fleet.AdmitProbe("u1"), ShouldBeTrue)
			f.fleet.TakeTokenWants(always)
			grant("u0", 1, 250)
			So(f.fleet.AdmitProbe("u0"), ShouldBeTrue)
			So(f.fleet.AdmitProbe("u0"), ShouldBeFalse)
		})
	})
}

// TestTokenBucketsKeepRate checks that the tokens taken within any span stay within the rate, apart
// from the first one and those saved up for TokenBurstMillis.
func TestTokenBucketsKeepRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &manualClock{now: Minute}
		buckets := NewTokenBuckets(clock.clock())
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		var takenAt []Millis
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock.now += Millis(rapid.IntRange(0, 700).Draw(t, "pause"))
			taken, wait := buckets.Take("u", rate, rapid.IntRange(1, 8).Draw(t, "count"))
			for range taken {
				takenAt = append(takenAt, clock.now)
			}
			if again, _ := buckets.Take("u", rate, 1); wait > 0 && again > 0 {
				t.Fatalf("a token was taken though the wait was %d ms", wait)
			}
		}
		perMilli := max(rate, MinTokenRate) / float64(Second)
		for i := range takenAt {
			for j := i; j < len(takenAt); j++ {
				span := takenAt[j] - takenAt[i]
				if allowed := perMilli*float64(span+TokenBurstMillis) + 1 + 1e-6; float64(j-i+1) > allowed {
					t.Fatalf("%d tokens in %d ms at %f a second", j-i+1, span, rate)
				}
			}
		}
	})
}

// TestNewTokenBucketIsEmpty guards against an instance that becomes coordinator and grants again what
// its predecessor has just granted.
func TestNewTokenBucketIsEmpty(t *testing.T) {
	clock := &manualClock{now: Minute}
	buckets := NewTokenBuckets(clock.clock())
	if taken, wait := buckets.Take("u", 4, 2); taken != 0 || wait != 250 {
		t.Errorf("took %d tokens, next one in %d ms; want none, 250 ms", taken, wait)
	}
	clock.now += 250
	if taken, _ := buckets.Take("u", 4, 2); taken != 1 {
		t.Errorf("took %d tokens after 250 ms, want 1", taken)
	}
}
