package core

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func newInstanceList(revision uint64, members ...Member) InstanceList {
	return InstanceList{Revision: Revision(revision), Members: members}
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
			var result []string
			for _, upstream := range roster.Services(configuration)[0].Upstreams {
				name := upstream.Name
				if upstream.Unlisted {
					name += " unlisted"
				}
				result = append(result, name)
			}
			return result
		}
		Convey("services have the upstreams and slots of the list", func() {
			So(names(), ShouldResemble, []string{"a", "b"})
			So(roster.Services(configuration)[0].Slots, ShouldEqual, 2)
			So(roster.Services(configuration)[1].Upstreams, ShouldBeEmpty)
		})
		Convey("a missing upstream is unlisted during the grace period and then removed", func() {
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
		Convey("a missing upstream that returns within the grace period is listed again", func() {
			roster.Update(newInstanceList(2, upstreamMember("b", 1)))
			clock.now += Second
			roster.Update(newInstanceList(3, upstreamMember("a", 1), upstreamMember("b", 1)))
			clock.now += 10 * Second
			So(roster.Expire(), ShouldBeFalse)
			So(names(), ShouldResemble, []string{"a", "b"})
		})
		Convey("later lists without the upstream do not extend the grace period", func() {
			roster.Update(newInstanceList(2, upstreamMember("b", 1)))
			clock.now += UnlistedGraceMillis
			roster.Update(newInstanceList(3, upstreamMember("b", 1)))
			clock.now++
			So(roster.Expire(), ShouldBeTrue)
		})
		Convey("an upstream that is missing since the store came back from an older copy is kept for longer", func() {
			rewound := newInstanceList(1, upstreamMember("b", 1))
			rewound.Revision = NewRevision(1, 1)
			roster.Update(rewound)
			clock.now += UnlistedGraceMillis + 1
			So(roster.Expire(), ShouldBeFalse)
			So(names(), ShouldResemble, []string{"a unlisted", "b"})
			clock.now += RewoundGraceMillis - UnlistedGraceMillis
			So(roster.Expire(), ShouldBeTrue)
		})
		Convey("an upstream that is missing from a later list of the same era is not", func() {
			for number, members := range [][]Member{{upstreamMember("a", 1), upstreamMember("b", 1)}, {upstreamMember("b", 1)}} {
				list := newInstanceList(0, members...)
				list.Revision = NewRevision(1, uint64(number+1))
				roster.Update(list)
			}
			clock.now += UnlistedGraceMillis + 1
			So(roster.Expire(), ShouldBeTrue)
		})
		Convey("a new incarnation under the same name is reported as appeared", func() {
			appeared, _ := roster.Update(newInstanceList(2, upstreamMember("a", 2), upstreamMember("b", 1)))
			So(appeared, ShouldResemble, []string{"a"})
		})
	})
}

// TestUnlistedUpstreams checks that an upstream whose list entry expired, as during an
// outage of the platform's key-value store, gets requests only if its service has no other
// upstream.
func TestUnlistedUpstreams(t *testing.T) {
	Convey("An unlisted replica gets requests only while no listed one is usable", t, func() {
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
