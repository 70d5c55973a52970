package core

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
)

// logLines collects the lines of a log as decoded JSON objects.
type logLines struct {
	mu    sync.Mutex
	lines []map[string]any
}

// capture replaces the log of the router. Lines above the verbosity are left out.
func (l *logLines) capture(router *Router, verbosity int) {
	router.Log = funcr.NewJSON(func(text string) {
		var line map[string]any
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			panic(err)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines = append(l.lines, line)
	}, funcr.Options{Verbosity: verbosity})
}

// with returns the lines with the message.
func (l *logLines) with(message string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.lines), func(line map[string]any) bool { return line["msg"] != message })
}

// rejects replies with a status after the given time, and fails for the reason of the reply.
func rejects(after Millis, status int, kind FailureKind, rejected RejectedReply) behaviour {
	return func(context.Context) (RoutedReply, error) {
		time.Sleep(after.Duration())
		reply := RoutedReply{Status: status}
		if status != 0 {
			reply.Signature = "failed"
		}
		if kind == "" {
			return reply, nil
		}
		return reply, &AttemptError{Kind: kind, Rejected: rejected}
	}
}

// countsOf returns the counters of rejected replies that are not zero.
func countsOf(counters *Counters) map[Counter]int64 {
	counts := map[Counter]int64{}
	for counter := CountUnmerged1xx; counter <= CountBadOther; counter++ {
		if count := counters.Get(counter); count != 0 {
			counts[counter] = count
		}
	}
	return counts
}

// TestRejectedRepliesAreRecorded guards against the failed reply of a shard whose status and signature
// are neither logged nor counted, so that a signature in a merged answer can't be traced.
func TestRejectedRepliesAreRecorded(t *testing.T) {
	bad := func(defect ReplyDefect) behaviour {
		return rejects(1, 0, FailureBadReply, RejectedReply{Status: 200, Signature: "failed", Defect: defect, ExtraInput: true})
	}
	cases := []struct {
		name    string
		fault   behaviour
		counter Counter
		want    string
	}{
		{"a change of protocol", rejects(1, 101, FailureBadReply, RejectedReply{}), CountUnmerged1xx, "101 failed"},
		{"a redirect", rejects(1, 302, "", RejectedReply{}), CountUnmerged3xx, "302 failed"},
		{"a client error", rejects(1, 404, "", RejectedReply{}), CountUnmerged4xx, "404 failed"},
		{"a server error", rejects(1, 500, FailureError, RejectedReply{}), CountUnmerged5xx, "500 failed"},
		{"a refusal", rejects(1, 503, FailureNotRun, RejectedReply{}), CountUnmerged5xx, "503 failed"},
		{"an incomplete failure", rejects(1, 0, FailureLost, RejectedReply{Status: 404, Signature: "failed"}), CountUnmerged4xx, "404 failed"},
		{"of another request", bad(DefectForeign), CountBadForeign, "200 failed anotherRequest extraInput"},
		{"ambiguous", bad(DefectAmbiguous), CountBadAmbiguous, "200 failed ambiguous extraInput"},
		{"overlapping", bad(DefectOverlap), CountBadOverlap, "200 failed overlap extraInput"},
		{"too large", bad(DefectTooLarge), CountBadTooLarge, "200 failed tooLarge extraInput"},
		{"without a signature", rejects(1, 0, FailureBadReply, RejectedReply{Status: 200, Defect: DefectUnsigned}), CountBadUnsigned, "200 noSignature"},
		{"bad for another reason", rejects(1, 0, FailureBadReply, RejectedReply{}), CountBadOther, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newRouterFixture(4, 2, scatteredRoute(4, 0.7))
				f.set("s2-a", tc.fault)
				var log logLines
				log.capture(f.router, 0)
				f.ask(context.Background())
				lines := log.with("attempt failed")
				if len(lines) != 1 || lines[0]["request"] != "id" || lines[0]["upstream"] != "s2-a" || describeRejected(lines[0]) != tc.want {
					t.Errorf("lines %v, want one with %q", lines, tc.want)
				}
				if counts := countsOf(f.router.Counters); counts[tc.counter] != 1 {
					t.Errorf("counts %v, want 1 of %s", counts, tc.counter)
				}
			})
		})
	}
}

// describeRejected returns the fields of a line that describe a rejected reply.
func describeRejected(line map[string]any) string {
	var parts []string
	for _, key := range []string{"status", "signature", "defect"} {
		if value, ok := line[key]; ok {
			parts = append(parts, fmt.Sprint(value))
		}
	}
	if line["extraInput"] == true {
		parts = append(parts, "extraInput")
	}
	return strings.Join(parts, " ")
}

// TestLateFailuresAreRecorded guards against the failure of a hedge that lost which leaves no trace, and
// against lines and counts of attempts that only were cancelled.
func TestLateFailuresAreRecorded(t *testing.T) {
	cases := []struct {
		name  string
		loser behaviour
		want  []string
		count int64
	}{
		{"failed with a status", rejects(100, 404, "", RejectedReply{}), []string{"404 failed"}, 1},
		{"bad", rejects(100, 0, FailureBadReply, RejectedReply{Status: 404, Signature: "a, b", Defect: DefectOverlap}), []string{"404 a, b overlap"}, 1},
		{"cancelled", hangs(), nil, 0},
		{"cancelled within a reply", rejects(100, 0, FailureTimeout, RejectedReply{Status: 404, Signature: "failed"}), nil, 0},
		{"cancelled after a reply to another request", rejects(100, 0, FailureTimeout, RejectedReply{Status: 404, Signature: "failed", ExtraInput: true}),
			[]string{"404 failed extraInput"}, 1},
		{"lost without a reply", rejects(100, 0, FailureLost, RejectedReply{}), nil, 0},
		{"answered", answers(100), nil, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var log logLines
			var f *routerFixture
			inBubble(t, func(t *testing.T) {
				f = newRouterFixture(4, 2, scatteredRoute(4, 0.7))
				f.set("s2-a", tc.loser)
				log.capture(f.router, 0)
				answer := f.ask(context.Background())
				if merged, _ := answer.Merged.Get(); merged.Missing != 0 || f.since() >= 100 {
					t.Errorf("%d shards missing after %d ms: the hedge has not won", merged.Missing, f.since())
				}
			})
			var got []string
			for _, line := range log.with("attempt failed after the answer") {
				got = append(got, describeRejected(line))
			}
			if !slices.Equal(got, tc.want) || f.router.Counters.Get(CountUnmerged4xx) != tc.count {
				t.Errorf("lines %q, want %q; counted %d, want %d", got, tc.want, f.router.Counters.Get(CountUnmerged4xx), tc.count)
			}
		})
	}
}

// TestFailureBesideAnswerIsRecorded guards against a failure that is lost because it arrives between the
// reply that is used and the end of the dispatch.
func TestFailureBesideAnswerIsRecorded(t *testing.T) {
	f := newRouterFixture(1, 1, scatteredRoute(1, 1))
	var log logLines
	log.capture(f.router, 0)
	permit, err := f.fleet.Acquire(context.Background(), Want{Service: "s0"})
	if err != nil {
		t.Fatal(err)
	}
	d := &dispatch{router: f.router, route: scatteredRoute(1, 1), service: "s0", results: make(chan routedResult, 1)}
	d.results <- routedResult{permit: permit, failure: &AttemptError{Kind: FailureError, Rejected: RejectedReply{Status: 500, Signature: "failed"}}}
	d.close()
	if lines := log.with("attempt failed after the answer"); len(lines) != 1 || describeRejected(lines[0]) != "500 failed" {
		t.Errorf("lines %v, want one of the failure", lines)
	}
}

// TestRejectedReplyOfOneDestination guards against counts of replies that are returned to callers: a
// request to one destination merges nothing.
func TestRejectedReplyOfOneDestination(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(1, 2, plainRoute(true, 2))
		f.set("s0-a", fails(FailureError, 1))
		f.ask(context.Background())
		if counts := countsOf(f.router.Counters); len(counts) != 0 {
			t.Errorf("counts %v", counts)
		}
	})
}

// TestExtraInputBesideReply guards against an accepted reply that may be a copy of another one and
// can't be found in the log.
func TestExtraInputBesideReply(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newRouterFixture(4, 1, scatteredRoute(4, 0.7))
		f.set("s2-a", func(context.Context) (RoutedReply, error) {
			return RoutedReply{Status: 200, Signature: strings.Repeat("x", 2*maxLoggedSignatureBytes), ExtraInput: true}, nil
		})
		var log logLines
		log.capture(f.router, 0)
		f.ask(context.Background())
		lines := log.with("reply accepted beside extra input")
		if want := "200 " + strings.Repeat("x", maxLoggedSignatureBytes) + " extraInput"; len(lines) != 1 || describeRejected(lines[0]) != want {
			t.Errorf("lines %v, want one with %q", lines, want)
		}
	})
}
