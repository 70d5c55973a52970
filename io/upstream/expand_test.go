package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"acaciavane/core"
	"acaciavane/standin/hostile"
)

// TestRepliesThatExpand guards against a reply on the own interface that is small and becomes large
// when it is decoded.
func TestRepliesThatExpand(t *testing.T) {
	bodies := map[string]string{
		"records":   `{"records":[` + repeatTo(core.MaxReplyBytes-32, "{},") + `{}]}`,
		"ranges":    `{"covered":[` + repeatTo(core.MaxReplyBytes-32, "{},") + `{}]}`,
		"snapshots": `{"status":{"snapshots":{"c":[` + repeatTo(core.MaxReplyBytes-64, "1,") + `1]}}}`,
		"names":     `{"status":{"snapshots":{` + distinctNames(core.MaxReplyBytes-64) + `"c":[]}}}`,
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			server := newUpstreamServer(func(w http.ResponseWriter, _ SearchRequest) { _, _ = io.WriteString(w, body) })
			defer server.Close()
			clock := core.NewClock()
			client := New(clock, &net.Dialer{}, core.NewCounters())
			peak := hostile.HeapPeak()
			if _, err := client.Search(context.Background(), server.target(1), newAttempt(clock)); err == nil {
				t.Error("the reply was accepted")
			}
			used := peak()
			t.Logf("%d KB of heap", used>>10)
			// The reply is held in blocks and as one slice, with as much garbage, beside what it
			// decodes to.
			if used > 12*core.MaxReplyBytes {
				t.Errorf("%d MB of heap, at most %d allowed", used>>20, 12*core.MaxReplyBytes>>20)
			}
		})
	}
}

// repeatTo repeats text as often as fits into a number of bytes.
func repeatTo(bytes int, text string) string { return strings.Repeat(text, bytes/len(text)) }

// distinctNames returns fields with distinct names, as many as fit into a number of bytes.
func distinctNames(bytes int) string {
	var fields strings.Builder
	for name := []byte("aaaa"); fields.Len() < bytes-16; {
		fields.WriteString(`"` + string(name) + `":[],`)
		for i := range name {
			if name[i]++; name[i] <= 'z' {
				break
			}
			name[i] = 'a'
		}
	}
	return fields.String()
}
