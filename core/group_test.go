package core

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// groupFixture holds an instance in zone a and one in zone b, which gathers the shards without
// a replica in zone a for the first one.
type groupFixture struct {
	local, remote *routerFixture
	// gather handles the calls to the remote instance.
	gather func(ctx context.Context, request GroupRequest, receive func(GroupReport)) error
	// groups are the requests that the local instance sent.
	groups []GroupRequest
}

// newGroupFixture returns two instances with the given number of shards. The first localShards
// of them have replicas in all zones, the others in all zones but a.
func newGroupFixture(shards, localShards, replicas int, route Route) *groupFixture {
	g := &groupFixture{local: newRouterFixture(shards, replicas, route), remote: newRouterFixture(shards, replicas, route)}
	g.remote.fleet.zone = "b"
	for _, f := range []*routerFixture{g.local, g.remote} {
		configuration := Configuration{Version: 7, MaxInstances: 1, Routes: []Route{route}}
		for shard := range shards {
			service := Service{Name: fmt.Sprintf("s%d", shard), Slots: 4, Connections: 16}
			for j := range replicas {
				zone := string(rune('a' + j))
				name := service.Name + "-" + zone
				f.set(name, answersWith(10, fmt.Sprintf("%-16s", name)))
				if shard < localShards || zone != "a" {
					service.Upstreams = append(service.Upstreams, Upstream{Name: name, Address: name, Zone: zone})
				}
			}
			configuration.Services = append(configuration.Services, service)
		}
		f.fleet.Apply(configuration)
		for _, target := range f.fleet.Targets() {
			f.fleet.ObserveListed(target.Name, 1, PhaseLive)
		}
	}
	g.local.delegation.gatherers = map[string][]PeerInfo{"b": {{Name: "remote", Zone: "b", Address: "remote"}}}
	g.local.router.GroupClient = g
	g.gather = g.deliver
	return g
}

// answersWith returns a behaviour that replies with a record after the given time.
func answersWith(after Millis, record string) behaviour {
	reply := answers(after)
	return func(ctx context.Context) (RoutedReply, error) {
		got, err := reply(ctx)
		got.Signature, got.Body = record, []byte(record)
		return got, err
	}
}

// Gather implements GroupClient.
func (g *groupFixture) Gather(ctx context.Context, _ string, request GroupRequest, receive func(GroupReport)) error {
	g.groups = append(g.groups, request)
	return g.gather(ctx, request, receive)
}

// deliver passes the group to the remote instance, which gathers it.
func (g *groupFixture) deliver(ctx context.Context, request GroupRequest, receive func(GroupReport)) error {
	return g.remote.router.AnswerGroup(ctx, request, func(report GroupReport) error {
		receive(report)
		return ctx.Err()
	})
}

// checkMerged verifies that the answer contains at most one part per shard, and that its
// records are the greatest of those parts.
func checkMerged(t interface{ Errorf(string, ...any) }, answer RoutedAnswer, route Route) {
	merged, ok := answer.Merged.Get()
	if !ok {
		t.Errorf("%s: %s", answer.Outcome, answer.Detail)
		return
	}
	shards := NewSet[string]()
	var records []string
	for _, signature := range merged.Signatures {
		shards.Add(signature[:slices.Index([]byte(signature), '-')])
		records = append(records, signature)
	}
	if len(shards) != len(merged.Signatures) || len(shards)+merged.Missing != len(route.Shards) {
		t.Errorf("%d parts of %d shards, %d missing of %d", len(merged.Signatures), len(shards), merged.Missing, len(route.Shards))
	}
	slices.Sort(records)
	slices.Reverse(records)
	var want bytes.Buffer
	for _, record := range records[:min(route.TopK, len(records))] {
		want.WriteString(record)
	}
	if !bytes.Equal(want.Bytes(), merged.Records) {
		t.Errorf("records %q, want %q", merged.Records, want.Bytes())
	}
}

// TestGroups covers a request to many shards, of which many have no replica in the zone of the
// instance that answers it. Without groups, most messages would cross zones.
func TestGroups(t *testing.T) {
	const shards, localShards = 32, 12
	route := scatteredRoute(shards, 0.9)
	route.TopK = 5
	neverReplies := func(g *groupFixture) func(context.Context, GroupRequest, func(GroupReport)) error {
		return func(ctx context.Context, _ GroupRequest, _ func(GroupReport)) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	failsWith := func(err error) func(*groupFixture) func(context.Context, GroupRequest, func(GroupReport)) error {
		return func(*groupFixture) func(context.Context, GroupRequest, func(GroupReport)) error {
			return func(context.Context, GroupRequest, func(GroupReport)) error { return err }
		}
	}
	cases := []struct {
		name   string
		gather func(*groupFixture) func(context.Context, GroupRequest, func(GroupReport)) error
		// crossZoneAttempts is the number of attempts sent directly to other zones.
		crossZoneAttempts int
		// overloadReports, failureReports and livenessChecks count the calls of MarkOverloaded,
		// DelegateFailed and Responds.
		overloadReports int
		failureReports  int
		livenessChecks  int
		missing         int
	}{
		{"one message crosses zones", nil, 0, 0, 0, 0, 0},
		{"the group is refused: all shards get direct requests", failsWith(ErrGroupRefused), shards - localShards, 1, 0, 0, 0},
		{"the instance can't be reached: all shards get direct requests", failsWith(ErrNotDelivered), shards - localShards, 0, 1, 0, 0},
		{"the connection breaks: each shard has one attempt left", failsWith(errors.New("lost")), shards - localShards, 0, 1, 0, 0},
		{"the instance does not reply: it is checked, and all shards get direct requests", neverReplies, shards - localShards, 0, 0, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				g := newGroupFixture(shards, localShards, 3, route)
				if tc.gather != nil {
					g.gather = tc.gather(g)
				}
				answer := g.local.ask(context.Background())
				elapsed := g.local.since()
				synctest.Wait()
				checkMerged(t, answer, route)
				if merged, _ := answer.Merged.Get(); merged.Missing != tc.missing || elapsed > route.Objective {
					t.Errorf("%d missing after %d ms", merged.Missing, elapsed)
				}
				if crossed := len(g.local.sentTo()) - localShards; crossed != tc.crossZoneAttempts || len(g.groups) != 1 || len(g.groups[0].Shards) != shards-localShards {
					t.Errorf("%d attempts cross zones, groups %v", crossed, g.groups)
				}
				if len(g.local.delegation.overloaded) != tc.overloadReports || len(g.local.delegation.failed) != tc.failureReports || g.local.delegation.livenessChecks != tc.livenessChecks {
					t.Errorf("overloaded %v, failed %v, %d liveness checks", g.local.delegation.overloaded, g.local.delegation.failed, g.local.delegation.livenessChecks)
				}
			})
		})
	}
}

// TestFailedReplyIsNotReported guards against a shard's failure that the gatherer of a group reports
// as a part.
func TestFailedReplyIsNotReported(t *testing.T) {
	const shards, localShards = 32, 12
	route := scatteredRoute(shards, 0.9)
	route.TopK = 5
	inBubble(t, func(t *testing.T) {
		g := newGroupFixture(shards, localShards, 2, route)
		g.remote.set("s20-b", answersStatus(404))
		g.local.set("s20-b", answersStatus(404))
		answer := g.local.ask(context.Background())
		synctest.Wait()
		if merged, _ := answer.Merged.Get(); merged.Missing != 1 || slices.Contains(merged.Signatures, "failed") {
			t.Fatalf("%d missing, signatures %q", merged.Missing, merged.Signatures)
		}
		checkMerged(t, answer, route)
	})
}

// TestShardsAreDividedAmongInstances covers requests to hundreds of shards. The shards are
// divided among instances of this zone and of others, and each is in at most one group.
func TestShardsAreDividedAmongInstances(t *testing.T) {
	instances := func(zone string, count int) []PeerInfo {
		var all []PeerInfo
		for i := range count {
			name := fmt.Sprint(zone, i)
			all = append(all, PeerInfo{Name: name, Zone: zone, Address: name})
		}
		return all
	}
	cases := []struct {
		name                string
		shards, localShards int
		gatherers           map[string][]PeerInfo
		groups              int
		// maxShards is the largest number of shards that one instance sends the request to.
		maxShards int
	}{
		{"no other instances", 180, 180, nil, 0, 180},
		{"few shards", MaxGroupShards, MaxGroupShards, map[string][]PeerInfo{"a": instances("a", 2)}, 0, MaxGroupShards},
		{"many local shards", 180, 180, map[string][]PeerInfo{"a": instances("a", 2)}, 2, 60},
		{"too few instances in the zone", 270, 270, map[string][]PeerInfo{"a": instances("a", 2)}, 2, 90},
		{"two zones", 270, 162, map[string][]PeerInfo{"a": instances("a", 2), "b": instances("b", 3)}, 4, 54},
		{"instances in another zone only", 180, 108, map[string][]PeerInfo{"b": instances("b", 1)}, 1, 108},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				route := scatteredRoute(tc.shards, 0.9)
				g := newGroupFixture(tc.shards, tc.localShards, 2, route)
				g.local.delegation.gatherers = tc.gatherers
				groups := g.local.router.planGroups(route)
				grouped := NewSet[int]()
				direct := tc.shards
				instances := NewSet[string]()
				for _, group := range groups {
					instances.Add(group.gatherer.Name)
					direct -= len(group.shards)
					if len(group.shards) > tc.maxShards {
						t.Errorf("one instance has %d shards", len(group.shards))
					}
					for _, shard := range group.shards {
						grouped.Add(shard)
					}
				}
				if len(groups) != tc.groups || len(instances) != tc.groups || direct > tc.maxShards || len(grouped) != tc.shards-direct {
					t.Errorf("%d groups at %d instances, %d shards without a group, %d different shards in groups", len(groups), len(instances), direct, len(grouped))
				}
			})
		})
	}
}

// TestLateShardsOfGroups covers a group with a replica that does not reply. The instance that
// answers the request sends it to another replica of that shard only, if the route
// allows a second attempt.
func TestLateShardsOfGroups(t *testing.T) {
	const shards, localShards = 32, 12
	for _, attempts := range []int{1, 2} {
		inBubble(t, func(t *testing.T) {
			route := scatteredRoute(shards, 0.9)
			route.MaxAttempts = attempts
			g := newGroupFixture(shards, localShards, 3, route)
			g.remote.set("s15-b", hangs())
			g.local.set("s15-b", hangs())
			answer := g.local.ask(context.Background())
			synctest.Wait()
			checkMerged(t, answer, route)
			merged, _ := answer.Merged.Get()
			if want := 2 - attempts; merged.Missing != want {
				t.Errorf("%d attempts: %d missing, want %d", attempts, merged.Missing, want)
			}
			var attempted []string
			for _, name := range append(g.remote.sentTo(), g.local.sentTo()...) {
				if name == "s15-b" || name == "s15-c" {
					attempted = append(attempted, name)
				}
			}
			if len(attempted) != attempts {
				t.Errorf("%d attempts are allowed, the shard received %v", attempts, attempted)
			}
		})
	}
}

// TestGroupRefusals covers groups that an instance can't gather. It refuses them and sends
// nothing to upstreams.
func TestGroupRefusals(t *testing.T) {
	route := scatteredRoute(6, 0.9)
	cases := []struct {
		name   string
		modify func(g *groupFixture, request *GroupRequest)
	}{
		{"another configuration", func(_ *groupFixture, request *GroupRequest) { request.ConfigurationVersion = 8 }},
		{"no such shard", func(_ *groupFixture, request *GroupRequest) { request.Shards = []int{6} }},
		{"no such route", func(_ *groupFixture, request *GroupRequest) { request.Request.Message.Host = "other" }},
		{"the instance delegates its requests", func(g *groupFixture, _ *GroupRequest) { g.remote.delegation.delegates = []PeerInfo{{Name: "x"}} }},
		{"the instance has just started", func(g *groupFixture, _ *GroupRequest) { g.remote.delegation.warmingUp = true }},
		{"the instance is overloaded", func(g *groupFixture, _ *GroupRequest) { g.remote.lag.Observe(100) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				g := newGroupFixture(6, 2, 2, route)
				request := GroupRequest{
					DelegatedRequest: DelegatedRequest{
						Request:              RoutedRequest{ID: "id", Message: Message{Method: "GET", Host: "h", Target: "/p/1"}},
						ConfigurationVersion: 7, Remaining: Second,
					},
					Shards: []int{3, 4},
				}
				tc.modify(g, &request)
				err := g.remote.router.AnswerGroup(context.Background(), request, func(GroupReport) error { return nil })
				if !errors.Is(err, ErrGroupRefused) || len(g.remote.sentTo()) > 0 {
					t.Errorf("%v, sent to %v", err, g.remote.sentTo())
				}
			})
		})
	}
}

// TestRandomGroupReports covers reports, direct requests and failures of groups in random
// order. Some reports repeat a shard or name one that is not in the group.
func TestRandomGroupReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shards, localShards = 24, 4
		route := scatteredRoute(shards, 0.5)
		route.TopK = rapid.IntRange(1, 6).Draw(t, "top")
		g := newGroupFixture(shards, localShards, 3, route)
		started := time.Now()
		g.local.clock = NewClock()
		for shard := localShards; shard < shards; shard++ {
			if rapid.Bool().Draw(t, "slow") {
				delay := Millis(rapid.IntRange(1, 8).Draw(t, "delay"))
				g.local.set(fmt.Sprintf("s%d-c", shard), answersWith(delay, fmt.Sprintf("%-16s", fmt.Sprintf("s%d-c", shard))))
			}
		}
		order := rapid.Permutation(intRange(localShards, shards)).Draw(t, "order")
		firstCount := rapid.IntRange(0, len(order)).Draw(t, "firstCount")
		ending := rapid.IntRange(0, 3).Draw(t, "ending")
		g.gather = func(_ context.Context, _ GroupRequest, receive func(GroupReport)) error {
			time.Sleep(time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Millisecond)
			first := slices.Clone(order[:firstCount])
			slices.Sort(first)
			receive(reportFromZoneB(first, route.TopK))
			switch ending {
			case 1:
				receive(reportFromZoneB(first, route.TopK))
			case 2:
				receive(reportFromZoneB([]int{0, 1}, route.TopK))
				for range 3 * shards {
					receive(GroupReport{})
				}
			case 3:
				return errors.New("lost")
			}
			rest := slices.Clone(order[firstCount:])
			slices.Sort(rest)
			receive(GroupReport{Failed: rest})
			return nil
		}
		answer := g.local.ask(context.Background())
		if answer.Outcome == OutcomeAnswered {
			checkMerged(t, answer, route)
		}
		if answer.Outcome == OutcomeNotRun {
			t.Errorf("the outcome is not run, but the request may have run")
		}
		if time.Since(started) > 5*time.Second {
			t.Errorf("took %v", time.Since(started))
		}
	})
}

// intRange returns the integers from from to to-1.
func intRange(from, to int) []int {
	var all []int
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

// reportFromZoneB returns a report with the replies of the shards' replicas in zone b.
func reportFromZoneB(shards []int, topK int) GroupReport {
	report := GroupReport{Shards: shards}
	var parts []Part
	for _, shard := range shards {
		record := fmt.Sprintf("%-16s", fmt.Sprintf("s%d-b", shard))
		report.Signatures = append(report.Signatures, record)
		parts = append(parts, Part{Records: []byte(record)})
	}
	report.Records = MergeTop(parts, topK)
	return report
}
