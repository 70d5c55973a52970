package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// singleServiceConfiguration returns a configuration with one service, which has the given
// number of replicas, each in its own zone.
func singleServiceConfiguration(replicas, slots, connections, instances int) Configuration {
	service := Service{Name: "s", Slots: slots, Connections: connections}
	for i := range replicas {
		service.Upstreams = append(service.Upstreams, Upstream{Name: fmt.Sprintf("u%d", i), Address: "a", Zone: fmt.Sprintf("z%d", i)})
	}
	return Configuration{Version: 1, MaxInstances: instances, Services: []Service{service}}
}

// liveStatus returns the status of a live upstream that serves snapshots of collection "c".
func liveStatus(incarnation uint64, snapshots ...uint64) UpstreamStatus {
	return UpstreamStatus{
		Incarnation: incarnation,
		Phase:       PhaseLive,
		Snapshots:   map[string]Set[uint64]{"c": NewSet(snapshots...)},
	}
}

// fleetFixture is a fleet with a manual clock. It records the facts that the fleet publishes.
type fleetFixture struct {
	clock *manualClock
	fleet *Fleet
	facts []Fact
}

// newFleetFixture returns a fleet in zone z0 of live replicas u0, u1 and so on. Two
// requests may be in flight at each.
func newFleetFixture(replicas int) *fleetFixture {
	f := &fleetFixture{clock: &manualClock{now: 100 * Minute}}
	f.fleet = NewFleet(f.clock.clock(), "z0", Policy{}, func(fact Fact) { f.facts = append(f.facts, fact) })
	f.fleet.Apply(singleServiceConfiguration(replicas, 2, 24, 12))
	for i := range replicas {
		f.fleet.Observe(fmt.Sprintf("u%d", i), liveStatus(1, 1))
	}
	f.clock.now += Minute
	return f
}

// acquire calls Fleet.Acquire and gives up after 20 ms.
func (f *fleetFixture) acquire(want Want) (*Permit, error) {
	want.Service = "s"
	want.Collection = "c"
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	return f.fleet.Acquire(ctx, want)
}

func TestFleet(t *testing.T) {
	Convey("Given a fleet of two live replicas", t, func() {
		f := newFleetFixture(2)
		Convey("the replica in the local zone is preferred", func() {
			permit, err := f.acquire(Want{})
			So(err, ShouldBeNil)
			So(permit.Target().Name, ShouldEqual, "u0")
		})
		Convey("a leaving replica gets no requests, and one fact is published", func() {
			f.fleet.MarkLeaving("u0", 1, "peer")
			f.fleet.MarkLeaving("u0", 1, "peer")
			permit, err := f.acquire(Want{})
			So(err, ShouldBeNil)
			So(permit.Target().Name, ShouldEqual, "u1")
			So(f.facts, ShouldHaveLength, 1)
		})
		Convey("a leaving mark of an earlier incarnation does not apply to its successor", func() {
			f.fleet.Observe("u0", liveStatus(2, 1))
			f.fleet.MarkLeaving("u0", 1, "instance list")
			permit, err := f.acquire(Want{Exclude: NewSet("u1")})
			So(err, ShouldBeNil)
			So(permit.Target().Name, ShouldEqual, "u0")
		})
		Convey("a replica stays leaving until a new incarnation reports", func() {
			f.fleet.MarkLeaving("u0", 1, "peer")
			f.fleet.Observe("u0", liveStatus(1, 1))
			permit, _ := f.acquire(Want{})
			So(permit.Target().Name, ShouldEqual, "u1")
			permit.Release()
			f.fleet.Observe("u0", liveStatus(2, 1))
			So(f.fleet.State()[0].Phase, ShouldEqual, PhaseLive)
		})
		Convey("a permit is not sendable after its upstream started leaving", func() {
			permit, _ := f.acquire(Want{})
			So(permit.Sendable(), ShouldBeTrue)
			f.fleet.MarkLeaving("u0", 1, "peer")
			So(permit.Sendable(), ShouldBeFalse)
		})
		Convey("a waiter gets an error when the last replica leaves", func() {
			for range 4 {
				_, err := f.acquire(Want{})
				So(err, ShouldBeNil)
			}
			go func() {
				time.Sleep(2 * time.Millisecond)
				f.fleet.MarkLeaving("u0", 1, "peer")
				f.fleet.MarkLeaving("u1", 1, "peer")
			}()
			_, err := f.acquire(Want{})
			So(err, ShouldEqual, ErrNoReplica)
		})
		Convey("only replicas that serve the pinned snapshot are selected", func() {
			f.fleet.Observe("u1", liveStatus(1, 1, 2))
			permit, err := f.acquire(Want{Snapshot: 2})
			So(err, ShouldBeNil)
			So(permit.Target().Name, ShouldEqual, "u1")
			_, err = f.acquire(Want{Snapshot: 3})
			So(err, ShouldEqual, ErrNoReplica)
		})
		Convey("a service whose replicas are all ejected still gets requests", func() {
			for _, name := range []string{"u0", "u1"} {
				for range 2 * EjectAfterFailures {
					permit, err := f.acquire(Want{Exclude: NewSet(otherUpstream(name))})
					So(err, ShouldBeNil)
					permit.Fail(&AttemptError{Kind: FailureLost})
				}
			}
			_, err := f.acquire(Want{})
			So(err, ShouldBeNil)
		})
		Convey("a slow replica is avoided, and measured again later by an extra attempt", func() {
			permit, _ := f.acquire(Want{})
			f.clock.now += 400
			permit.Succeed(liveStatus(1, 1))
			permit, _ = f.acquire(Want{})
			So(permit.Target().Name, ShouldEqual, "u1")
			permit.Succeed(liveStatus(1, 1))
			want := Want{Service: "s", Collection: "c"}
			So(f.fleet.Explore(want), ShouldBeNil)
			f.clock.now += ExploreIntervalMillis + 1
			permit, _ = f.acquire(Want{})
			So(permit.Target().Name, ShouldEqual, "u1")
			explorer := f.fleet.Explore(Want{Service: "s", Collection: "c", Exclude: NewSet("u1")})
			So(explorer.Target().Name, ShouldEqual, "u0")
			explorer.Succeed(liveStatus(1, 1))
			permit, _ = f.acquire(Want{})
			So(permit.Target().Name, ShouldEqual, "u0")
		})
		Convey("waiters with a higher priority are served first", func() {
			var permits []*Permit
			for range 4 {
				permit, _ := f.acquire(Want{})
				permits = append(permits, permit)
			}
			order := make(chan int, 2)
			for _, priority := range []int{0, 2} {
				go func() {
					permit, err := f.fleet.Acquire(context.Background(), Want{Service: "s", Priority: priority})
					if err == nil {
						order <- priority
						permit.Release()
					}
				}()
				time.Sleep(5 * time.Millisecond)
			}
			permits[0].Release()
			So(<-order, ShouldEqual, 2)
			So(<-order, ShouldEqual, 0)
		})
		Convey("a replica with an exclusive request gets no other request", func() {
			permit, err := f.acquire(Want{Exclusive: true})
			So(err, ShouldBeNil)
			second, err := f.acquire(Want{Exclude: NewSet(otherUpstream(permit.Target().Name))})
			So(second, ShouldBeNil)
			So(err, ShouldNotBeNil)
		})
		Convey("a request that must not use the last replica fails when only one is left", func() {
			f.fleet.MarkLeaving("u0", 1, "peer")
			_, err := f.acquire(Want{ExcludeLastReplica: true})
			So(err, ShouldEqual, ErrNoReplica)
		})
	})
}

// otherUpstream returns the one of u0 and u1 that is not named.
func otherUpstream(name string) string {
	if name == "u0" {
		return "u1"
	}
	return "u0"
}

// TestSharesNeverExceedTheLimit checks that all instances together open no more
// connections to an upstream than it accepts. The instances compute their shares from
// the configuration alone, without knowledge of each other.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 50).Draw(t, "instances")
		connections := rapid.IntRange(instances, 500).Draw(t, "connections")
		configuration := singleServiceConfiguration(1, 2, connections, instances)
		total := 0
		for range instances {
			fleet := NewFleet(NewClock(), "z0", Policy{}, func(Fact) {})
			fleet.Apply(configuration)
			total += fleet.Targets()[0].MaxConnections
		}
		if total > connections {
			t.Fatalf("%d connections, limit %d", total, connections)
		}
	})
}

// TestPermitsStayWithinTheShare acquires permits and ends them at random, and checks that
// the requests in flight at each replica stay between zero and the instance's share.
func TestPermitsStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetFixture(2)
		var permits []*Permit
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "acquire") {
				permit, err := f.fleet.Acquire(context.Background(), Want{Service: "s", NoWait: true})
				if err == nil {
					permits = append(permits, permit)
				}
			} else if len(permits) > 0 {
				permit := permits[0]
				permits = permits[1:]
				if rapid.Bool().Draw(t, "shed") {
					permit.Fail(&AttemptError{Kind: FailureNotRun})
				} else {
					permit.Succeed(liveStatus(1, 1))
				}
			}
			for _, state := range f.fleet.State() {
				if state.InFlight > state.ConnectionShare || state.InFlight < 0 {
					t.Fatalf("%d in flight, share %d", state.InFlight, state.ConnectionShare)
				}
			}
		}
	})
}
