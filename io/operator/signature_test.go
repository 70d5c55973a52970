package operator

import (
	"strings"
	"testing"
)

// The logs of two instances after an answer to the request r1 that names the signature sig, with which
// upstream u1 of s1 had failed. Each shows another cause.
const (
	// The reply was taken for a success in spite of its status.
	statusIgnoredLog = `{"time":"2026-12-06T08:00:01Z","level":"INFO","msg":"attempt failed","instance":"n1","request":"r0","service":"s1","upstream":"u2","failure":"upstreamError","detail":"status 500","status":500,"signature":"other"}
{"time":"2026-12-06T08:00:02Z","level":"INFO","msg":"parts merged","instance":"n1","request":"r1","count":2,"parts":["s1 u1 direct 404 sig","s2 u3 direct 200 sig3"]}
{"time":"2026-12-06T08:00:02Z","level":"INFO","msg":"upstream sends what was not asked for","instance":"n1","upstream":"u4","service":"s4","input":"bytes after a reply","times":1}
`
	// A copy of the reply to r0 arrived on the connection of r1.
	copiedLog = `{"time":"2026-12-06T08:00:01Z","level":"INFO","msg":"attempt failed","instance":"n1","request":"r0","service":"s1","upstream":"u1","failure":"upstreamError","detail":"status 404","status":404,"signature":"sig"}
{"time":"2026-12-06T08:00:02Z","level":"INFO","msg":"upstream sends what was not asked for","instance":"n1","upstream":"u1","service":"s1","input":"reply to another request","times":1,"signature":"sig"}
{"time":"2026-12-06T08:00:03Z","level":"INFO","msg":"attempt failed","instance":"n1","request":"r1","service":"s1","upstream":"u1","failure":"badReply","detail":"overlap","status":404,"signature":"sig, sig2","defect":"overlap","extraInput":true}
`
	// The beginning of a copy changed the status, and no instance noticed it.
	joinedLog = `{"time":"2026-12-06T08:00:02Z","level":"INFO","msg":"parts merged","instance":"n1","request":"r1","count":1,"parts":["s1 u1 direct 200 sig"]}
`
	// The failure was recognised, and merged nevertheless.
	mergedLog = `{"time":"2026-12-06T08:00:01Z","level":"INFO","msg":"attempt failed","instance":"n1","request":"r1","service":"s1","upstream":"u1","failure":"upstreamError","detail":"status 404","status":404,"signature":"sig"}
{"time":"2026-12-06T08:00:02Z","level":"INFO","msg":"parts merged","instance":"n1","request":"r1","count":1,"parts":["s1 u1 direct 404 sig"]}
`
	// The failure was recognised by the gatherer of a group.
	recognisedLog = `{"time":"2026-12-06T08:00:01Z","level":"INFO","msg":"attempt failed","instance":"n2","request":"r1","service":"s1","upstream":"u1","failure":"upstreamError","detail":"status 404","status":404,"signature":"sig","leftOut":3}
{"time":"2026-12-06T08:00:02Z","level":"INFO","msg":"shards reported without a reply","instance":"n2","request":"r1","missing":1,"shards":"s1:failed"}
{"time":"2026-12-06T08:00:03Z","level":"INFO","msg":"answered","instance":"n1","request":"r1","direct":1,"hedges":0,"groups":2,"rejected":1,"gatherers":"n2"}
{"time":"2026-12-06T08:00:04Z","level":"INFO","msg":"refused","instance":"n1","request":"r9","reason":"noUpstream"}
`
	// The failure was recognised after the answer, at a hedge that lost.
	lateLog = `{"time":"2026-12-06T08:00:01Z","level":"INFO","msg":"attempt failed after the answer","instance":"n1","request":"r1","service":"s1","upstream":"u1","failure":"upstreamError","detail":"status 404","status":404,"signature":"sig"}
`
	// The failure was recognised in one request, and merged in another one.
	otherRequestLog = `{"time":"2026-12-06T08:00:01Z","level":"INFO","msg":"attempt failed","instance":"n1","request":"r0","service":"s1","upstream":"u1","failure":"upstreamError","detail":"status 404","status":404,"signature":"sig"}
{"time":"2026-12-06T08:00:02Z","level":"INFO","msg":"parts merged","instance":"n1","request":"r1","count":1,"parts":["s1 u1 hedge 200 sig"]}
`
)

// TestTraceSignature guards against causes of a wrong answer that the logs distinguish, but the command
// explain does not.
func TestTraceSignature(t *testing.T) {
	cases := []struct {
		name, log, signature string
		want                 string
		// lines is the number of lines that are printed.
		lines int
	}{
		{"a status that was ignored", statusIgnoredLog, "sig", "no instance recorded a failure with signature sig; n1 merged it for request r1: s1 u1 direct 404 sig", 1},
		{"a copy", copiedLog, "sig", "n1 read signature sig from u1 in a copy of a reply, or beside one", 3},
		{"a reply joined with a copy", copiedLog, "sig2", "n1 read signature sig2 from u1 in a copy of a reply, or beside one", 2},
		{"a reply joined with a copy that was not noticed", joinedLog, "sig",
			"no instance recorded a failure with signature sig; n1 merged it for request r1: s1 u1 direct 200 sig", 1},
		{"a failure that was recognised and merged", mergedLog, "sig",
			"n1 recorded that the attempt of request r1 at u1 failed with signature sig; n1 merged it for request r1: s1 u1 direct 404 sig", 2},
		{"a failure that was recognised by a gatherer", recognisedLog, "sig",
			"n2 recorded that the attempt of request r1 at u1 failed with signature sig (the logs lack 3 lines about failed attempts)", 3},
		{"a failure that was recognised after the answer", lateLog, "sig", "n1 recorded that the attempt of request r1 at u1 failed with signature sig", 1},
		{"a failure of another request", otherRequestLog, "sig",
			"n1 recorded that the attempt of request r0 at u1 failed with signature sig; n1 merged it for request r1: s1 u1 hedge 200 sig", 2},
		{"an unknown signature", lateLog, "si", "no instance recorded a failure with signature si", 0},
		{"an unknown signature in logs with gaps", recognisedLog, "sig0",
			"no instance recorded a failure with signature sig0 (the logs lack 3 lines about failed attempts)", 0},
		{"a signature that the log cuts", strings.Replace(lateLog, `"sig"`, `"`+strings.Repeat("x", 128)+`"`, 1), strings.Repeat("x", 200),
			"n1 recorded that the attempt of request r1 at u1 failed with signature " + strings.Repeat("x", 200), 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			lines, _, err := ReadLog("log", strings.NewReader(tc.log))
			if err != nil {
				t.Fatal(err)
			}
			trace := TraceSignature(lines, tc.signature)
			if got := trace.Conclusion(); got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
			if got := trace.Timeline(lines); len(got) != tc.lines || trace.IsEmpty() != (tc.lines == 0) {
				t.Errorf("%d lines, want %d: %v", len(got), tc.lines, describe(got))
			}
		})
	}
}

// TestReadLogWithOtherParts guards against a log that can't be read because a field has another type
// than in lines about signatures.
func TestReadLogWithOtherParts(t *testing.T) {
	lines, _, err := ReadLog("log", strings.NewReader(`{"msg":"x","instance":"n1","parts":3}`+"\n"+`{"msg":"y","parts":{"a":1}}`+"\n"))
	if err != nil || len(lines) != 2 || len(lines[0].Parts) != 0 {
		t.Errorf("lines %v, error %v", lines, err)
	}
}
