package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"acaciavane/core"
	"acaciavane/io/upstream"
)

// previousReply holds the reply to the previous request. The fault "crossed" sends
// it instead of the current reply.
var previousReply struct {
	sync.Mutex
	raw []byte
}

// lateReply is a connection of a caller, with a copy of its last reply. The fault "repeated" sends
// the copy before the next reply on the connection.
type lateReply struct {
	conn net.Conn
	raw  []byte
}

// lateReplyKey is the key of the lateReply in the context of a request.
type lateReplyKey struct{}

func withLateReply(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, lateReplyKey{}, &lateReply{conn: conn})
}

// sendLateReply sends the copy that keepLateReply has kept, if any.
func sendLateReply(r *http.Request) {
	late := r.Context().Value(lateReplyKey{}).(*lateReply)
	_, _ = late.conn.Write(late.raw)
	late.raw = nil
}

// keepLateReply keeps a copy of a reply on its connection.
func keepLateReply(r *http.Request, raw []byte) {
	late := r.Context().Value(lateReplyKey{}).(*lateReply)
	late.raw = append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(raw)), raw...)
}

// writeReply sends a reply after applying the fault that the behaviour sets.
func (u *upstreamStandin) writeReply(w http.ResponseWriter, r *http.Request, reply upstream.SearchReply) {
	fault := u.currentBehaviour().Fault
	injectFault(fault, &reply)
	raw, _ := json.Marshal(reply)
	switch fault {
	case "cut":
		writeIncomplete(w, raw)
		return
	case "garbage":
		_, _ = io.WriteString(w, "<html>no JSON</html>")
		return
	case "crossed":
		previousReply.Lock()
		raw, previousReply.raw = previousReply.raw, encodeWithOtherValues(reply)
		previousReply.Unlock()
	case "repeated":
		keepLateReply(r, encodeWithOtherValues(reply))
	case "late":
		select {
		case <-time.After(time.Minute):
		case <-r.Context().Done():
		}
	}
	_, _ = w.Write(raw)
}

// otherValues returns the records with other values, so that an answer that uses a reply which
// must be rejected is wrong.
func otherValues(records []upstream.Record) []upstream.Record {
	changed := slices.Clone(records)
	for i := range changed {
		changed[i].Value = "of a reply that must be rejected"
	}
	return changed
}

func encodeWithOtherValues(reply upstream.SearchReply) []byte {
	reply.Records = otherValues(reply.Records)
	raw, _ := json.Marshal(reply)
	return raw
}

// injectFault changes an answered reply according to the fault. The faults that
// concern the connection or the encoding are in writeReply.
func injectFault(fault string, reply *upstream.SearchReply) {
	if reply.Outcome != upstream.OutcomeAnswered {
		return
	}
	switch fault {
	case "forged":
		reply.AttemptID = "forged"
		reply.Records = otherValues(reply.Records)
	case "wrongSnapshot":
		reply.Snapshot++
		reply.Records = otherValues(reply.Records)
	case "lacksRecords":
		reply.Records = reply.Records[:len(reply.Records)/2]
	case "noEnd":
		reply.End = ""
		reply.Records = otherValues(reply.Records)
	case "duplicated":
		reply.Records = append(reply.Records, reply.Records...)
		reply.RecordCount = len(reply.Records)
	case "partial":
		halveCoverage(reply)
	case "empty":
		reply.Records = nil
		reply.RecordCount = 0
	case "foreign":
		reply.Covered = append(reply.Covered, upstream.Range{Start: 0, End: 1 << 32})
	}
}

// halveCoverage reduces a reply to the first half of its first range, and reports
// only that half as covered.
func halveCoverage(reply *upstream.SearchReply) {
	if len(reply.Covered) == 0 {
		return
	}
	first := reply.Covered[0]
	first.End = first.Start + (first.End-first.Start)/2
	reply.Covered = []upstream.Range{first}
	kept := core.KeyRange{Start: first.Start, End: first.End}
	reply.Records = slices.DeleteFunc(slices.Clone(reply.Records), func(r upstream.Record) bool {
		return !kept.Contains(core.Position(r.Key))
	})
	reply.RecordCount = len(reply.Records)
}

// writeIncomplete sends the first half of a reply and closes the connection. The
// announced content length is longer than the reply.
func writeIncomplete(w http.ResponseWriter, raw []byte) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	connection, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000000\r\n\r\n")
	_, _ = connection.Write(raw[:len(raw)/2])
	_ = connection.Close()
}
