package operator

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"acaciavane/core"
)

// TestSharedMetrics guards against counters that share a metric and overwrite each other, or that lack the
// label by which operators tell them apart.
func TestSharedMetrics(t *testing.T) {
	const scope = `otel_scope_name="acaciavane",otel_scope_schema_url="",otel_scope_version=""`
	counters := core.NewCounters()
	cases := []struct {
		counter core.Counter
		metric  string
		label   string
	}{
		{core.CountUnmerged1xx, "unmergedShardReplies", `,status="1xx"`},
		{core.CountUnmerged3xx, "unmergedShardReplies", `,status="3xx"`},
		{core.CountUnmerged4xx, "unmergedShardReplies", `,status="4xx"`},
		{core.CountUnmerged5xx, "unmergedShardReplies", `,status="5xx"`},
		{core.CountBadForeign, "badShardReplies", `,reason="anotherRequest"`},
		{core.CountBadAmbiguous, "badShardReplies", `,reason="ambiguous"`},
		{core.CountBadOverlap, "badShardReplies", `,reason="overlap"`},
		{core.CountBadUnsigned, "badShardReplies", `,reason="noSignature"`},
		{core.CountBadTooLarge, "badShardReplies", `,reason="tooLarge"`},
		{core.CountBadOther, "badShardReplies", `,reason="other"`},
		{core.CountHedges, "hedges", ""},
	}
	for i, tc := range cases {
		counters.Add(tc.counter, i+1)
	}
	metrics, err := NewMetrics(counters, Gauges{
		InFlight:             func() int { return 0 },
		ConfigurationVersion: func() uint64 { return 0 },
		PlatformAge:          func() core.Millis { return 0 },
		AlivePeers:           func() int { return 0 },
		ExtraLoadTokens:      func() float64 { return 0 },
		Callers:              func() core.ConnectionBudgetState { return core.ConnectionBudgetState{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", PathMetrics, nil))
	raw := recorder.Body.String()
	for i, tc := range cases {
		want := fmt.Sprintf("acaciavane_%s_total{%s%s} %d\n", tc.metric, scope, tc.label, i+1)
		if !strings.Contains(raw, want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
}
