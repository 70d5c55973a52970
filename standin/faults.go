package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"acaciavane/core"
	"acaciavane/io/upstream"
)

// lastReply is the reply before, which the fault "crossed" sends in place of
// the request's own.
var lastReply struct {
	sync.Mutex
	raw []byte
}

// write sends a reply, spoiled as the behaviour says.
func (u *upstreamStandin) write(w http.ResponseWriter, r *http.Request, reply upstream.SearchReply) {
	fault := u.current().Fault
	spoil(fault, &reply)
	raw, _ := json.Marshal(reply)
	switch fault {
	case "cut":
		cutOff(w, raw)
		return
	case "garbage":
		_, _ = io.WriteString(w, "<html>no JSON</html>")
		return
	case "crossed":
		lastReply.Lock()
		raw, lastReply.raw = lastReply.raw, raw
		lastReply.Unlock()
	case "late":
		select {
		case <-time.After(time.Minute):
		case <-r.Context().Done():
		}
	}
	_, _ = w.Write(raw)
}

// spoil changes a reply by the name of a fault.
func spoil(fault string, reply *upstream.SearchReply) {
	if reply.Outcome != upstream.OutcomeAnswered {
		return
	}
	switch fault {
	case "forged":
		reply.AttemptID = "forged"
	case "wrongSnapshot":
		reply.Snapshot++
	case "lacksRecords":
		reply.Records = reply.Records[:len(reply.Records)/2]
	case "noEnd":
		reply.End = ""
	case "duplicated":
		reply.Records = append(reply.Records, reply.Records...)
		reply.RecordCount = len(reply.Records)
	case "partial":
		truncate(reply)
	case "empty":
		reply.Records = nil
		reply.RecordCount = 0
	case "foreign":
		reply.Covered = append(reply.Covered, upstream.Range{Start: 0, End: 1 << 32})
	}
}

// truncate keeps the first half of the first range and says so.
func truncate(reply *upstream.SearchReply) {
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

// cutOff sends half of a reply and breaks the connection.
func cutOff(w http.ResponseWriter, raw []byte) {
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
