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

// groupFixture is an instance in zone a that has another one in zone b gather the shards
// without a replica in zone a.
type groupFixture struct {
	here, there *routerFixture
	// gather is how calls to the other instance go.
	gather func(ctx context.Context, request GroupRequest, take func(GroupReport)) error
	groups []GroupRequest
}

// newGroupFixture returns two instances with a number of shards, of which the first local
// ones have replicas in all zones and the others in all but zone a.
func newGroupFixture(shards, local, replicas int, route Route) *groupFixture {
	g := &groupFixture{here: newRouterFixture(shards, replicas, route), there: newRouterFixture(shards, replicas, route)}
	g.there.fleet.zone = "b"
	for _, f := range []*routerFixture{g.here, g.there} {
		configuration := Configuration{Version: 7, MaxInstances: 1, Routes: []Route{route}}
		for shard := range shards {
			service := Service{Name: fmt.Sprintf("s%d", shard), Slots: 4, Connections: 16}
			for j := range replicas {
				zone := string(rune('a' + j))
				name := service.Name + "-" + zone
				f.set(name, answersWith(10, fmt.Sprintf("%-16s", name)))
				if shard < local || zone != "a" {
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
	g.here.choice.gatherers = map[string][]PeerInfo{"b": {{Name: "there", Zone: "b", Address: "there"}}}
	g.here.router.GroupClient = g
	g.gather = g.deliver
	return g
}

// answersWith replies after the given time with a record.
func answersWith(after Millis, record string) behaviour {
	reply := answers(after)
	return func(ctx context.Context) (RoutedReply, error) {
		got, err := reply(ctx)
		got.Signature, got.Body = record, []byte(record)
		return got, err
	}
}

// Gather implements GroupClient.
func (g *groupFixture) Gather(ctx context.Context, _ string, request GroupRequest, take func(GroupReport)) error {
	g.groups = append(g.groups, request)
	return g.gather(ctx, request, take)
}

// deliver has the other instance gather the group.
func (g *groupFixture) deliver(ctx context.Context, request GroupRequest, take func(GroupReport)) error {
	return g.there.router.AnswerGroup(ctx, request, func(report GroupReport) error {
		take(report)
		return ctx.Err()
	})
}

// checkMerged verifies that the answer's records are the greatest of the parts that it names, of
// which no two are of one shard.
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
	for _, record := range records[:min(route.Top, len(records))] {
		want.WriteString(record)
	}
	if !bytes.Equal(want.Bytes(), merged.Records) {
		t.Errorf("records %q, want %q", merged.Records, want.Bytes())
	}
}

// TestGroups covers the load that is mostly messages between zones: a query to many shards
// of which a good part has no replica in the zone of the instance that answers it.
func TestGroups(t *testing.T) {
	const shards, local = 32, 12
	route := scatteredRoute(shards, 0.9)
	route.Top = 5
	later := func(g *groupFixture) func(context.Context, GroupRequest, func(GroupReport)) error {
		return func(ctx context.Context, _ GroupRequest, _ func(GroupReport)) error {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	fails := func(err error) func(*groupFixture) func(context.Context, GroupRequest, func(GroupReport)) error {
		return func(*groupFixture) func(context.Context, GroupRequest, func(GroupReport)) error {
			return func(context.Context, GroupRequest, func(GroupReport)) error { return err }
		}
	}
	cases := []struct {
		name   string
		gather func(*groupFixture) func(context.Context, GroupRequest, func(GroupReport)) error
		// crossed is how many attempts leave the zone directly.
		crossed int
		busy    int
		failed  int
		asked   int
		missing int
	}{
		{"one message crosses zones", nil, 0, 0, 0, 0, 0},
		{"one that refuses: all are asked directly", fails(ErrGroupRefused), shards - local, 1, 0, 0, 0},
		{"one that can't be reached: all are asked directly", fails(ErrNotDelivered), shards - local, 0, 1, 0, 0},
		{"one whose connection breaks: each shard has an attempt left", fails(errors.New("lost")), shards - local, 0, 1, 0, 0},
		{"one that is silent: it is asked whether it is there, and the shards directly", later, shards - local, 0, 0, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				g := newGroupFixture(shards, local, 3, route)
				if tc.gather != nil {
					g.gather = tc.gather(g)
				}
				answer := g.here.ask(context.Background())
				answered := g.here.since()
				synctest.Wait()
				checkMerged(t, answer, route)
				if merged, _ := answer.Merged.Get(); merged.Missing != tc.missing || answered > route.Objective {
					t.Errorf("%d missing after %d ms", merged.Missing, answered)
				}
				if crossed := len(g.here.sentTo()) - local; crossed != tc.crossed || len(g.groups) != 1 || len(g.groups[0].Shards) != shards-local {
					t.Errorf("%d attempts leave the zone, groups %v", crossed, g.groups)
				}
				if len(g.here.choice.busy) != tc.busy || len(g.here.choice.failed) != tc.failed || g.here.choice.questions != tc.asked {
					t.Errorf("busy %v, failed %v, %d questions", g.here.choice.busy, g.here.choice.failed, g.here.choice.questions)
				}
			})
		})
	}
}

// TestGroupsOfOneZone covers queries to hundreds of shards: the work of one is divided among
// the instances, those of the own zone as well, and each shard is asked once.
func TestGroupsOfOneZone(t *testing.T) {
	instances := func(zone string, count int) []PeerInfo {
		var all []PeerInfo
		for i := range count {
			name := fmt.Sprint(zone, i)
			all = append(all, PeerInfo{Name: name, Zone: zone, Address: name})
		}
		return all
	}
	cases := []struct {
		name          string
		shards, local int
		gatherers     map[string][]PeerInfo
		groups        int
		// most is the most shards that one instance asks.
		most int
	}{
		{"alone", 180, 180, nil, 0, 180},
		{"few shards", GroupMostShards, GroupMostShards, map[string][]PeerInfo{"a": instances("a", 2)}, 0, GroupMostShards},
		{"many local shards", 180, 180, map[string][]PeerInfo{"a": instances("a", 2)}, 2, 60},
		{"more than the zone has instances for", 270, 270, map[string][]PeerInfo{"a": instances("a", 2)}, 2, 90},
		{"two zones", 270, 162, map[string][]PeerInfo{"a": instances("a", 2), "b": instances("b", 3)}, 4, 54},
		{"another zone only", 180, 108, map[string][]PeerInfo{"b": instances("b", 1)}, 1, 108},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				route := scatteredRoute(tc.shards, 0.9)
				g := newGroupFixture(tc.shards, tc.local, 2, route)
				g.here.choice.gatherers = tc.gatherers
				groups := g.here.router.planGroups(route)
				asked := NewSet[int]()
				left := tc.shards
				instances := NewSet[string]()
				for _, group := range groups {
					instances.Add(group.gatherer.Name)
					left -= len(group.shards)
					if len(group.shards) > tc.most {
						t.Errorf("%d shards for one instance", len(group.shards))
					}
					for _, shard := range group.shards {
						asked.Add(shard)
					}
				}
				if len(groups) != tc.groups || len(instances) != tc.groups || left > tc.most || len(asked) != tc.shards-left {
					t.Errorf("%d groups at %d instances, %d shards are left, %d of the others are asked", len(groups), len(instances), left, len(asked))
				}
			})
		})
	}
}

// TestLateShardsOfGroups covers a replica that pauses where a group is gathered: the
// instance that answers the query asks another replica of that shard alone.
func TestLateShardsOfGroups(t *testing.T) {
	const shards, local = 32, 12
	for _, attempts := range []int{1, 2} {
		inBubble(t, func(t *testing.T) {
			route := scatteredRoute(shards, 0.9)
			route.MaxAttempts = attempts
			g := newGroupFixture(shards, local, 3, route)
			g.there.set("s15-b", hangs())
			g.here.set("s15-b", hangs())
			answer := g.here.ask(context.Background())
			synctest.Wait()
			checkMerged(t, answer, route)
			merged, _ := answer.Merged.Get()
			if want := 2 - attempts; merged.Missing != want {
				t.Errorf("%d attempts: %d missing, want %d", attempts, merged.Missing, want)
			}
			var there []string
			for _, name := range append(g.there.sentTo(), g.here.sentTo()...) {
				if name == "s15-b" || name == "s15-c" {
					there = append(there, name)
				}
			}
			if len(there) != attempts {
				t.Errorf("%d attempts are allowed, the shard got %v", attempts, there)
			}
		})
	}
}

// TestGroupsAreRefused covers requests of other instances that can't be served as they ask:
// nothing is sent.
func TestGroupsAreRefused(t *testing.T) {
	route := scatteredRoute(6, 0.9)
	cases := []struct {
		name   string
		change func(g *groupFixture, request *GroupRequest)
	}{
		{"another configuration", func(_ *groupFixture, request *GroupRequest) { request.ConfigurationVersion = 8 }},
		{"no such shard", func(_ *groupFixture, request *GroupRequest) { request.Shards = []int{6} }},
		{"no such route", func(_ *groupFixture, request *GroupRequest) { request.Request.Message.Host = "other" }},
		{"it delegates itself", func(g *groupFixture, _ *GroupRequest) { g.there.choice.to = []PeerInfo{{Name: "x"}} }},
		{"it has just started", func(g *groupFixture, _ *GroupRequest) { g.there.choice.settling = true }},
		{"it is behind", func(g *groupFixture, _ *GroupRequest) { g.there.lag.Observe(100) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				g := newGroupFixture(6, 2, 2, route)
				request := GroupRequest{
					DelegatedRequest: DelegatedRequest{
						Request:              RoutedRequest{ID: "id", Message: Message{Method: "GET", Host: "h", Target: "/p/1"}},
						ConfigurationVersion: 7, Left: Second,
					},
					Shards: []int{3, 4},
				}
				tc.change(g, &request)
				err := g.there.router.AnswerGroup(context.Background(), request, func(GroupReport) error { return nil })
				if !errors.Is(err, ErrGroupRefused) || len(g.there.sentTo()) > 0 {
					t.Errorf("%v, sent to %v", err, g.there.sentTo())
				}
			})
		})
	}
}

// TestGroupsInAnyOrder covers reports, backups and failures of groups in random order, with
// reports that name shards twice or were not asked for.
func TestGroupsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shards, local = 24, 4
		route := scatteredRoute(shards, 0.5)
		route.Top = rapid.IntRange(1, 6).Draw(t, "top")
		g := newGroupFixture(shards, local, 3, route)
		started := time.Now()
		g.here.clock = NewClock()
		for shard := local; shard < shards; shard++ {
			if rapid.Bool().Draw(t, "slow") {
				delay := Millis(rapid.IntRange(1, 8).Draw(t, "delay"))
				g.here.set(fmt.Sprintf("s%d-c", shard), answersWith(delay, fmt.Sprintf("%-16s", fmt.Sprintf("s%d-c", shard))))
			}
		}
		order := rapid.Permutation(numbers(local, shards)).Draw(t, "order")
		cut := rapid.IntRange(0, len(order)).Draw(t, "cut")
		fate := rapid.IntRange(0, 3).Draw(t, "fate")
		g.gather = func(_ context.Context, _ GroupRequest, take func(GroupReport)) error {
			time.Sleep(time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Millisecond)
			first := slices.Clone(order[:cut])
			slices.Sort(first)
			take(reportOf(first, route.Top))
			switch fate {
			case 1:
				take(reportOf(first, route.Top))
			case 2:
				take(reportOf([]int{0, 1}, route.Top))
				for range 3 * shards {
					take(GroupReport{})
				}
			case 3:
				return errors.New("lost")
			}
			rest := slices.Clone(order[cut:])
			slices.Sort(rest)
			take(GroupReport{Failed: rest})
			return nil
		}
		answer := g.here.ask(context.Background())
		if answer.Outcome == OutcomeAnswered {
			checkMerged(t, answer, route)
		}
		if answer.Outcome == OutcomeNotRun {
			t.Errorf("a request that may have run is called not run")
		}
		if time.Since(started) > 5*time.Second {
			t.Errorf("took %v", time.Since(started))
		}
	})
}

// numbers returns the numbers from one to before another.
func numbers(from, to int) []int {
	var all []int
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

// reportOf is a report of parts from zone b.
func reportOf(shards []int, top int) GroupReport {
	report := GroupReport{Shards: shards}
	var parts []Part
	for _, shard := range shards {
		record := fmt.Sprintf("%-16s", fmt.Sprintf("s%d-b", shard))
		report.Signatures = append(report.Signatures, record)
		parts = append(parts, Part{Records: []byte(record)})
	}
	report.Records = MergeTop(parts, top)
	return report
}
