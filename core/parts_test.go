package core

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// describeParts returns the fields of a line that say how the parts of an answer were gathered.
func describeParts(line map[string]any) string {
	text := fmt.Sprintf("direct %v, hedges %v, groups %v, rejected %v", line["direct"], line["hedges"], line["groups"], line["rejected"])
	if gatherers, ok := line["gatherers"]; ok {
		text += fmt.Sprintf(" by %v", gatherers)
	}
	return text
}

// TestSourcesOfParts guards against an answer whose log line does not tell by which path its parts came,
// and against lines of complete answers without a failure at the info level.
func TestSourcesOfParts(t *testing.T) {
	cases := []struct {
		name      string
		replicas  int
		fault     behaviour
		message   string
		verbosity int
		want      string
	}{
		{"all direct", 2, answers(10), "answered", 1, "direct 4, hedges 0, groups 0, rejected 0"},
		{"a hedge", 2, hangs(), "answered", 1, "direct 3, hedges 1, groups 0, rejected 0"},
		{"a retry after a failure", 2, rejects(1, 404, "", RejectedReply{}), "answered", 0, "direct 4, hedges 0, groups 0, rejected 1"},
		{"a retry after a refusal", 2, rejects(1, 503, FailureNotRun, RejectedReply{}), "answered", 1, "direct 4, hedges 0, groups 0, rejected 0"},
		{"a missing shard", 1, rejects(1, 404, "", RejectedReply{}), "answered in part", 0, "direct 3, hedges 0, groups 0, rejected 1"},
		{"all direct, at the info level", 2, answers(10), "answered", 0, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(4, tc.replicas, scatteredRoute(4, 0.7))
				f.set("s2-a", tc.fault)
				var log logLines
				log.capture(f.router, tc.verbosity)
				f.ask(context.Background())
				checkLine(t, log.with(tc.message), tc.want)
			})
		})
	}
}

// checkLine verifies that there is one line with the parts, or none if want is empty.
func checkLine(t *testing.T, lines []map[string]any, want string) {
	t.Helper()
	got := ""
	if len(lines) == 1 {
		got = describeParts(lines[0])
	}
	if got != want || len(lines) > 1 {
		t.Errorf("%d lines, parts %q; want %q", len(lines), got, want)
	}
}

// TestSourcesOfGroupedParts guards against parts from other instances that can't be told from direct ones,
// and against a gatherer that does not log which shards it reports as failed.
func TestSourcesOfGroupedParts(t *testing.T) {
	const shards, localShards = 32, 12
	route := scatteredRoute(shards, 0.9)
	inBubble(t, func(t *testing.T) {
		g := newGroupFixture(shards, localShards, 2, route)
		g.remote.set("s20-b", rejects(1, 404, "", RejectedReply{}))
		var local, remote logLines
		local.capture(g.local.router, 0)
		remote.capture(g.remote.router, 0)
		g.local.ask(context.Background())
		checkLine(t, local.with("answered"), "direct 12, hedges 1, groups 19, rejected 1 by remote")
		lines := remote.with("shards reported without a reply")
		if len(lines) != 1 || lines[0]["request"] != "id" || lines[0]["shards"] != "s20:failed" {
			t.Errorf("lines of the gatherer %v", lines)
		}
		if lines := remote.with("attempt failed"); len(lines) != 1 || describeRejected(lines[0]) != "404 failed" {
			t.Errorf("failed attempts of the gatherer %v", lines)
		}
		if lines := remote.with("parts merged"); len(lines) != 1 || lines[0]["count"] != 19.0 {
			t.Errorf("parts of the gatherer %v", lines)
		}
	})
}

// TestUnrepliedShardsAreBounded guards against a line that names every shard of a large group.
func TestUnrepliedShardsAreBounded(t *testing.T) {
	s := &scatterGather{route: scatteredRoute(100, 1)}
	got := strings.Join(s.unreplied(GroupReport{Failed: []int{7, 9}, NotRun: intRange(20, 90)}), " ")
	if want := "s7:failed s9:failed s20:notRun s21:notRun s22:notRun ..."; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestPartsAreSampled guards against a line with all signatures for each answer at the info level, and
// against parts whose status and sender can't be looked up.
func TestPartsAreSampled(t *testing.T) {
	cases := []struct {
		name      string
		verbosity int
		pause     Millis
		want      int
	}{
		{"info, shortly after each other", 0, 100, 1},
		{"info, later", 0, PartsLogIntervalMillis, 2},
		{"debug, at once", 1, 0, 1},
		{"debug, later", 1, PartsLogDebugMillis, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(maxNamedParts+2, 1, scatteredRoute(maxNamedParts+2, 1))
				var log logLines
				log.capture(f.router, tc.verbosity)
				f.ask(context.Background())
				time.Sleep(tc.pause.Duration())
				f.ask(context.Background())
				lines := log.with("parts merged")
				if len(lines) != tc.want {
					t.Fatalf("%d lines, want %d", len(lines), tc.want)
				}
				parts := lines[0]["parts"].([]any)
				if len(parts) != maxNamedParts || lines[0]["count"] != float64(maxNamedParts+2) || !strings.HasSuffix(parts[0].(string), "-a direct 200 signed") {
					t.Errorf("%d parts of %v, the first %q", len(parts), lines[0]["count"], parts[0])
				}
			})
		})
	}
}
