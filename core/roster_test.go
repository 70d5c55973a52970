package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func newInstanceList(revision uint64, members ...Member) InstanceList {
	return InstanceList{Revision: revision, Members: members}
}

func upstreamMember(name string, incarnation uint64) Member {
	return Member{Name: name, Role: RoleUpstream, Service: "s", Address: "1.2.3.4:5", Zone: "z", Incarnation: incarnation, Slots: 2}
}

func TestRoster(t *testing.T) {
	Convey("Given a roster of two upstreams", t, func() {
		clock := &manualClock{now: Minute}
		roster := NewRoster(clock.clock())
		configuration := Configuration{Services: []Service{{Name: "s", Connections: 20}, {Name: "empty"}}}
		roster.Update(newInstanceList(1, upstreamMember("a", 1), upstreamMember("b", 1)))
		names := func() []string {
			var all []string
			for _, upstream := range roster.Services(configuration)[0].Upstreams {
				name := upstream.Name
				if upstream.Unlisted {
					name += " unlisted"
				}
				all = append(all, name)
			}
			return all
		}
		Convey("its services have their upstreams and slots", func() {
			So(names(), ShouldResemble, []string{"a", "b"})
			So(roster.Services(configuration)[0].Slots, ShouldEqual, 2)
			So(roster.Services(configuration)[1].Upstreams, ShouldBeEmpty)
		})
		Convey("an upstream that goes missing stays as a last resort, and then goes", func() {
			appeared, missing := roster.Update(newInstanceList(2, upstreamMember("b", 1)))
			So(appeared, ShouldBeEmpty)
			So(missing, ShouldResemble, []string{"a"})
			So(names(), ShouldResemble, []string{"a unlisted", "b"})
			clock.now += UnlistedGraceMillis
			So(roster.Expire(), ShouldBeFalse)
			clock.now++
			So(roster.Expire(), ShouldBeTrue)
			So(names(), ShouldResemble, []string{"b"})
		})
		Convey("one that comes back within the grace is as before", func() {
			roster.Update(newInstanceList(2, upstreamMember("b", 1)))
			clock.now += Second
			roster.Update(newInstanceList(3, upstreamMember("a", 1), upstreamMember("b", 1)))
			clock.now += 10 * Second
			So(roster.Expire(), ShouldBeFalse)
			So(names(), ShouldResemble, []string{"a", "b"})
		})
		Convey("one that is still missing is not kept longer by later lists", func() {
			roster.Update(newInstanceList(2, upstreamMember("b", 1)))
			clock.now += UnlistedGraceMillis
			roster.Update(newInstanceList(3, upstreamMember("b", 1)))
			clock.now++
			So(roster.Expire(), ShouldBeTrue)
		})
		Convey("a successor under the same name is news", func() {
			appeared, _ := roster.Update(newInstanceList(2, upstreamMember("a", 2), upstreamMember("b", 1)))
			So(appeared, ShouldResemble, []string{"a"})
		})
	})
}

// TestUnlistedUpstreams covers entries that lapsed with the store away: they are
// used only where their service has no other.
func TestUnlistedUpstreams(t *testing.T) {
	Convey("An unlisted replica gets work only while no listed one is left", t, func() {
		f := newFleetFixture(2)
		configuration := singleServiceConfiguration(2, 2, 24, 12)
		configuration.Services[0].Upstreams[0].Unlisted = true
		f.fleet.Apply(configuration)
		for range 2 {
			permit, err := f.acquire(Want{})
			So(err, ShouldBeNil)
			So(permit.Target().Name, ShouldEqual, "u1")
		}
		f.fleet.MarkLeaving("u1", 1, "instance list")
		permit, err := f.acquire(Want{})
		So(err, ShouldBeNil)
		So(permit.Target().Name, ShouldEqual, "u0")
	})
}
