package core

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// countingProbeClient counts the probes.
type countingProbeClient struct {
	stubProbeClient
	probes int
}

func (c *countingProbeClient) Probe(ctx context.Context, target Target) (UpstreamStatus, error) {
	c.probes++
	return c.stubProbeClient.Probe(ctx, target)
}

// TestEvacuatedZoneGetsNoRequests guards against requests of any kind to an upstream in an
// evacuated zone.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	Convey("Given a fleet with one upstream in each of the zones z0 and z1", t, func() {
		f := newFleetFixture(2)
		Convey("attempts, hedges and retries go to the other zone, also those without a choice", func() {
			f.fleet.SetEvacuated([]string{"z0"})
			permit, err := f.acquire(Want{})
			So(err, ShouldBeNil)
			So(permit.Target().Name, ShouldEqual, "u1")
			_, err = f.acquire(Want{Exclude: NewSet("u1")})
			So(err, ShouldEqual, ErrNoReplica)
			So(f.fleet.Serving("s", "c", 1), ShouldBeTrue)
		})
		Convey("a permit that was granted before is not sent", func() {
			permit, _ := f.acquire(Want{})
			So(permit.Target().Name, ShouldEqual, "u0")
			f.fleet.SetEvacuated([]string{"z0"})
			pause := NewPauseGuard(f.clock.clock(), NewCounters(), func(context.Context) {})
			So(permit.confirm(pause)(context.Background()), ShouldEqual, ErrNotSendable)
		})
		Convey("an unused upstream is not explored", func() {
			f.fleet.SetEvacuated([]string{"z0", "z1"})
			f.clock.now += 2 * ExploreIntervalMillis
			So(f.fleet.Explore(Want{Service: "s"}), ShouldBeNil)
		})
		Convey("a suspect is not probed, also if it was one before, and is probed after the end", func() {
			permit, _ := f.acquire(Want{})
			permit.Fail(&AttemptError{Kind: FailureLost})
			target := f.fleet.Suspects()[0]
			client := &countingProbeClient{}
			prober := NewProber(f.clock.clock(), f.fleet, client)
			f.fleet.SetEvacuated([]string{"z0"})
			So(f.fleet.Suspects(), ShouldBeEmpty)
			So(f.fleet.HasSuspects(), ShouldBeFalse)
			prober.probe(context.Background(), target)
			So(client.probes, ShouldEqual, 0)
			<-f.fleet.Alerts()
			f.fleet.SetEvacuated(nil)
			So(f.fleet.Alerts(), ShouldHaveLength, 1)
			prober.probe(context.Background(), f.fleet.Suspects()[0])
			So(client.probes, ShouldEqual, 1)
		})
		Convey("late attempts there do not keep the search for suspects running", func() {
			permit, _ := f.acquire(Want{})
			f.fleet.SetEvacuated([]string{"z0"})
			permit.RecordSlow()
			So(f.fleet.HasSuspects(), ShouldBeFalse)
		})
		Convey("no group of shards is formed for it", func() {
			f.fleet.SetEvacuated([]string{"z1"})
			So(f.fleet.UpstreamsInZone("s", "z1"), ShouldBeEmpty)
			So(f.fleet.RemoteZones([]string{"s"}), ShouldBeEmpty)
			f.fleet.SetEvacuated([]string{"z0", "z1"})
			So(f.fleet.RemoteZones([]string{"s"}), ShouldBeEmpty)
		})
		Convey("an upstream that is added during the evacuation is not used either", func() {
			f.fleet.SetEvacuated([]string{"z2"})
			f.fleet.Apply(singleServiceConfiguration(3, 2, 24, 12))
			f.fleet.ObserveListed("u2", 1, PhaseLive)
			_, err := f.acquire(Want{Exclude: NewSet("u0", "u1")})
			So(err, ShouldEqual, ErrNoReplica)
		})
		Convey("its upstreams count as unreachable and are marked in the state", func() {
			f.fleet.SetEvacuated([]string{"z0"})
			So(f.fleet.ReachableServices([]string{"s"}), ShouldEqual, 1)
			So(f.fleet.State()[0].Evacuated, ShouldBeTrue)
			f.fleet.SetEvacuated([]string{"z0", "z1"})
			So(f.fleet.ReachableServices([]string{"s"}), ShouldEqual, 0)
			So(f.fleet.EvacuatedZones(), ShouldResemble, []string{"z0", "z1"})
		})
	})
}

// TestWaitersDuringEvacuation guards against queued attempts that wait for an upstream which they
// may not use, or that do not notice the end of an evacuation.
func TestWaitersDuringEvacuation(t *testing.T) {
	Convey("Given attempts that wait for room at two upstreams", t, func() {
		f := newFleetFixture(2)
		var permits []*Permit
		for range 4 {
			permit, err := f.acquire(Want{})
			So(err, ShouldBeNil)
			permits = append(permits, permit)
		}
		results := make(chan grantResult, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			permit, err := f.fleet.Acquire(ctx, Want{Service: "s"})
			results <- grantResult{permit: permit, err: err}
		}()
		for {
			f.fleet.mu.Lock()
			waiting := len(f.fleet.services["s"].waiters)
			f.fleet.mu.Unlock()
			if waiting == 1 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		Convey("they are rejected at once when all zones are evacuated", func() {
			f.fleet.SetEvacuated([]string{"z0", "z1"})
			So((<-results).err, ShouldEqual, ErrNoReplica)
		})
		Convey("room in an evacuated zone is not granted before the evacuation ends", func() {
			f.fleet.SetEvacuated([]string{"z0"})
			for _, permit := range permits {
				if permit.Target().Name == "u0" {
					permit.Release()
				}
			}
			So(results, ShouldBeEmpty)
			f.fleet.SetEvacuated([]string{})
			result := <-results
			So(result.err, ShouldBeNil)
			So(result.permit.Target().Name, ShouldEqual, "u0")
		})
	})
}

// TestReturnOfEvacuatedZone guards against the full load, or the explorations of all instances at
// once, on upstreams that are cold at the end of an evacuation.
func TestReturnOfEvacuatedZone(t *testing.T) {
	Convey("Upstreams return by slow start and are not explored at once", t, func() {
		f := newFleetFixture(2)
		f.fleet.SetEvacuated([]string{"z0"})
		f.clock.now += Minute
		f.fleet.SetEvacuated(nil)
		permit, _ := f.acquire(Want{})
		So(permit.Target().Name, ShouldEqual, "u1")
		permit.Release()
		So(f.fleet.Explore(Want{Service: "s", Exclude: NewSet("u1")}), ShouldBeNil)
		f.clock.now += SlowStartMillis
		permit, _ = f.acquire(Want{})
		So(permit.Target().Name, ShouldEqual, "u0")
	})
}

// TestRequestsDuringEvacuation guards against hedges and retries into an evacuated zone, and against
// requests that wait for their deadline while all zones are evacuated.
func TestRequestsDuringEvacuation(t *testing.T) {
	cases := []struct {
		name      string
		route     Route
		a         behaviour
		evacuated []string
		after     Millis
		outcome   Outcome
		latest    Millis
		sentTo    []string
	}{
		{"a slow attempt is not hedged there", plainRoute(true, 2), answers(400), []string{"b"}, 5, OutcomeAnswered, 400, []string{"s0-a"}},
		{"a failed attempt is not repeated there", plainRoute(true, 2), fails(FailureLost, 10), []string{"b"}, 5, OutcomeUnknown, 20, []string{"s0-a"}},
		{"another zone is used", plainRoute(false, 1), answers(10), []string{"a"}, 0, OutcomeAnswered, 10, []string{"s0-b"}},
		{"without a zone a request is refused", plainRoute(true, 2), answers(10), []string{"a", "b"}, 0, OutcomeNotRun, 0, nil},
		{"without a zone a request to all shards is refused", scatteredRoute(1, 1), answers(10), []string{"a", "b"}, 0, OutcomeNotRun, 0, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(1, 2, tc.route)
				f.set("s0-a", tc.a)
				time.AfterFunc(tc.after.Duration(), func() { f.fleet.SetEvacuated(tc.evacuated) })
				if tc.after == 0 {
					time.Sleep(time.Millisecond)
				}
				started := f.clock.Now()
				answer := f.ask(t.Context())
				if took := f.clock.Since(started); answer.Outcome != tc.outcome || took > tc.latest || !slices.Equal(f.sentTo(), tc.sentTo) {
					t.Errorf("outcome %s (%s) after %d ms, sent to %v", answer.Outcome, answer.Detail, took, f.sentTo())
				}
				if answer.Outcome == OutcomeNotRun && answer.RetryAfter == 0 {
					t.Error("a refusal without a time to retry")
				}
			})
		})
	}
}

// TestReadinessDuringEvacuation guards against an instance that counts evacuated upstreams as
// reachable.
func TestReadinessDuringEvacuation(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(2, 2, scatteredRoute(2, 0.5))
		for zones, want := range map[string]bool{"": true, "a": true, "ab": false} {
			var evacuated []string
			for _, zone := range zones {
				evacuated = append(evacuated, string(zone))
			}
			f.fleet.SetEvacuated(evacuated)
			if got := f.router.Serviceable(); got != want {
				t.Errorf("with the zones %q evacuated: serviceable %v", zones, got)
			}
		}
	})
}

// listOf returns a list whose evacuated zones are known.
func listOf(revision uint64, zones ...string) InstanceList {
	list := InstanceList{Revision: Revision(revision)}
	list.SetEvacuated(zones)
	return list
}

// evacuationDecoder encodes a list as its zones, and decodes "REVISION ZONE".
type evacuationDecoder struct{ textDecoder }

func (evacuationDecoder) EncodeInstanceList(list InstanceList) ([]byte, error) {
	return fmt.Append(nil, list.Evacuated), nil
}

func (evacuationDecoder) InstanceList(raw []byte) (InstanceList, error) {
	var revision uint64
	var zone string
	_, err := fmt.Sscan(string(raw), &revision, &zone)
	return listOf(revision, zone), err
}

// TestEvacuatedZonesOfLists guards against a list that brings back an older state of the evacuated
// zones, or that lacks them because its reader did not read them.
func TestEvacuatedZonesOfLists(t *testing.T) {
	Convey("Given a store that follows the lists with evacuated zones", t, func() {
		clock := &manualClock{now: Minute}
		fleet := NewFleet(clock.clock(), "z0", Policy{}, func(Fact) {})
		counters := NewCounters()
		var lines []string
		log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		store := NewStore(clock.clock(), evacuationDecoder{}, counters)
		store.OnInstanceList(NewEvacuation(fleet, counters, log).Apply)
		store.UpdateInstanceList(listOf(3, "a"))
		So(fleet.EvacuatedZones(), ShouldResemble, []string{"a"})
		Convey("an older list, or the same one again, changes nothing", func() {
			store.UpdateInstanceList(listOf(5))
			store.UpdateInstanceList(listOf(4, "a"))
			store.UpdateInstanceList(listOf(5, "a"))
			So(fleet.EvacuatedZones(), ShouldBeEmpty)
		})
		Convey("a newer list without known zones keeps them and passes them on", func() {
			store.UpdateInstanceList(InstanceList{Revision: 4, Raw: []byte("without zones")})
			So(fleet.EvacuatedZones(), ShouldResemble, []string{"a"})
			raw, err := store.EncodedList()
			So(err, ShouldBeNil)
			So(string(raw), ShouldEqual, "[a]")
		})
		Convey("empty and duplicate names are left out", func() {
			store.UpdateInstanceList(listOf(4, "b", "", "a", "b"))
			So(fleet.EvacuatedZones(), ShouldResemble, []string{"a", "b"})
		})
		Convey("each change is counted and logged once, with the zones that have no upstreams", func() {
			So(lines, ShouldHaveLength, 1)
			store.UpdateInstanceList(listOf(4, "a"))
			list := listOf(5, "b", "typo")
			list.Members = []Member{{Name: "u", Role: RoleUpstream, Zone: "b"}}
			store.UpdateInstanceList(list)
			So(lines, ShouldHaveLength, 2)
			So(lines[1], ShouldContainSubstring, `"started"=["b" "typo"] "ended"=["a"] "withoutUpstreams"=["typo"]`)
			So(counters.Get(CountEvacuationChanges), ShouldEqual, 4)
		})
	})
}

// TestListsOfPeersBeforeOwnRead guards against a new instance that takes the list of a peer without
// contact to the store and sends requests to a zone that has been evacuated for long.
func TestListsOfPeersBeforeOwnRead(t *testing.T) {
	Convey("Given a new store that has received two lists of peers", t, func() {
		store := NewStore(NewClock(), evacuationDecoder{}, NewCounters())
		store.AwaitOwnRead()
		for _, raw := range []string{"6 b", "5 a"} {
			updated, err := store.UpdateEncodedInstanceList([]byte(raw))
			So(err, ShouldBeNil)
			So(updated, ShouldBeFalse)
		}
		Convey("none of them is stored, and their revision is not requested again", func() {
			So(store.List().Revision, ShouldEqual, 0)
			So(store.knownListRevision(), ShouldEqual, 6)
			store.RecordPlatformFailure(KeyConfiguration)
			So(store.List().Revision, ShouldEqual, 0)
		})
		Convey("after a failed read the newest one is stored, and later ones are stored at once", func() {
			store.RecordPlatformFailure(KeyInstances)
			So(store.List().Evacuated, ShouldResemble, []string{"b"})
			updated, _ := store.UpdateEncodedInstanceList([]byte("7 c"))
			So(updated, ShouldBeTrue)
		})
		Convey("after an own read they are discarded", func() {
			store.RecordPlatformRead(KeyInstances)
			So(store.UpdateInstanceList(listOf(4)), ShouldBeTrue)
			store.RecordPlatformFailure(KeyInstances)
			So(store.List().Revision, ShouldEqual, 4)
			So(store.knownListRevision(), ShouldEqual, 4)
		})
	})
}

// TestEvacuationsConvergeInAnyOrder checks that the zones in effect are always those of the newest
// list, whatever the order in which an instance receives the lists.
func TestEvacuationsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revisions := rapid.Permutation([]uint64{1, 2, 3, 4, 5, 6}).Draw(t, "revisions")
		zones := rapid.SliceOfN(rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string]), 7, 7).Draw(t, "zones")
		store := newTestStore()
		fleet := NewFleet(NewClock(), "a", Policy{}, func(Fact) {})
		store.OnInstanceList(NewEvacuation(fleet, NewCounters(), funcr.New(func(string, string) {}, funcr.Options{})).Apply)
		newest := uint64(0)
		for _, revision := range revisions {
			store.UpdateInstanceList(listOf(revision, zones[revision]...))
			newest = max(newest, revision)
			if got := fleet.EvacuatedZones(); !slices.Equal(got, NewSet(zones[newest]...).Sorted()) {
				t.Fatalf("zones %v after the list %d", got, newest)
			}
		}
	})
}
