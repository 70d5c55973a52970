package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

// answer returns a sound reply to a request.
func answer(request SearchRequest) SearchReply {
	return SearchReply{
		QueryID: request.QueryID, AttemptID: request.AttemptID, Outcome: OutcomeAnswered,
		Snapshot: request.Snapshot, Covered: request.Ranges,
		Records: []Record{{Key: "k", SchemaVersion: 1, Value: "v"}}, RecordCount: 1,
		Status: Status{Incarnation: 3, State: "live", Snapshots: map[string][]uint64{"c": {7}}},
		End:    request.AttemptID,
	}
}

type upstreamServer struct {
	*httptest.Server
	connections atomic.Int64
	requests    atomic.Int64
}

func serve(handle func(w http.ResponseWriter, request SearchRequest)) *upstreamServer {
	s := &upstreamServer{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		var request SearchRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		handle(w, request)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	s.Start()
	return s
}

func (s *upstreamServer) target(lanes int) core.Target {
	return core.Target{Name: "u", Address: strings.TrimPrefix(s.URL, "http://"), Service: "s", Lanes: lanes}
}

func attempt(clock core.Clock) core.SearchAttempt {
	return core.SearchAttempt{
		QueryID: "q", AttemptID: "a", Collection: "c", Kind: "k", Snapshot: 7,
		Ranges: []core.KeyRange{{Start: 0, End: 100}}, Deadline: clock.Now() + core.Second,
	}
}

func hijack(w http.ResponseWriter, text string) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_, _ = io.WriteString(connection, text)
		_ = connection.Close()
	}
}

func TestRepliesOfAnUpstream(t *testing.T) {
	reply := func(change func(r *SearchReply)) func(http.ResponseWriter, SearchRequest) {
		return func(w http.ResponseWriter, request SearchRequest) {
			r := answer(request)
			change(&r)
			_ = json.NewEncoder(w).Encode(r)
		}
	}
	cases := []struct {
		name   string
		handle func(w http.ResponseWriter, request SearchRequest)
		want   core.FailureKind
		reused bool
	}{
		{"sound", reply(func(*SearchReply) {}), "", true},
		{"of another attempt", reply(func(r *SearchReply) { r.AttemptID = "b" }), core.FailureBadReply, false},
		{"of another query", reply(func(r *SearchReply) { r.QueryID = "b" }), core.FailureBadReply, false},
		{"from another snapshot", reply(func(r *SearchReply) { r.Snapshot = 8 }), core.FailureBadReply, false},
		{"without its end", reply(func(r *SearchReply) { r.End = "" }), core.FailureBadReply, false},
		{"with records missing", reply(func(r *SearchReply) { r.RecordCount = 2 }), core.FailureBadReply, false},
		{"with an unknown outcome", reply(func(r *SearchReply) { r.Outcome = "maybe" }), core.FailureBadReply, false},
		{"not run", reply(func(r *SearchReply) { r.Outcome, r.Reason = OutcomeNotRun, "shed" }), core.FailureNotRun, true},
		{"not run, under a forged identity", reply(func(r *SearchReply) {
			r.Outcome, r.AttemptID = OutcomeNotRun, "b"
		}), core.FailureBadReply, false},
		{"without the snapshot", reply(func(r *SearchReply) { r.Outcome, r.Reason = OutcomeNotRun, ReasonNoSnapshot }), core.FailureNoSnapshot, true},
		{"garbage", func(w http.ResponseWriter, _ SearchRequest) { _, _ = io.WriteString(w, "<html>") }, core.FailureBadReply, false},
		{"an error page that claims nothing", func(w http.ResponseWriter, _ SearchRequest) { http.Error(w, "busy", http.StatusServiceUnavailable) }, core.FailureBadReply, false},
		{"not HTTP", func(w http.ResponseWriter, _ SearchRequest) { hijack(w, "garbage\r\n\r\n") }, core.FailureLost, false},
		{"a closed connection", func(w http.ResponseWriter, _ SearchRequest) { hijack(w, "") }, core.FailureLost, false},
		{"cut off", func(w http.ResponseWriter, _ SearchRequest) {
			hijack(w, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"queryId\":")
		}, core.FailureLost, false},
		{"too large", func(w http.ResponseWriter, _ SearchRequest) {
			_, _ = io.WriteString(w, strings.Repeat(" ", core.MaxReplyBytes+1))
		}, core.FailureBadReply, false},
		{"too late", func(http.ResponseWriter, SearchRequest) { time.Sleep(120 * time.Millisecond) }, core.FailureTimeout, false},
	}
	Convey("A reply that is", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				server := serve(tc.handle)
				defer server.Close()
				clock := core.NewClock()
				client := New(clock, &net.Dialer{}, core.NewCounters())
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
				defer cancel()
				if tc.name == "too large" {
					ctx = context.Background()
				}
				got, err := client.Search(ctx, server.target(1), attempt(clock))
				if tc.want == "" {
					So(err, ShouldBeNil)
					So(got.Records, ShouldResemble, []core.Record{{Key: "k", SchemaVersion: 1, Value: "v"}})
					So(got.Status.Incarnation, ShouldEqual, 3)
				} else {
					var failure *core.AttemptError
					So(errors.As(err, &failure), ShouldBeTrue)
					So(failure.Kind, ShouldEqual, tc.want)
				}
				_, _ = client.Search(context.Background(), server.target(1), attempt(clock))
				So(server.connections.Load() == 1, ShouldEqual, tc.reused)
			})
		}
	})
}

func TestNoByteLeavesWithoutAConnection(t *testing.T) {
	Convey("An upstream that refuses connections was sent nothing", t, func() {
		server := serve(nil)
		target := server.target(1)
		server.Close()
		clock := core.NewClock()
		_, err := New(clock, &net.Dialer{}, core.NewCounters()).Search(context.Background(), target, attempt(clock))
		var failure *core.AttemptError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Kind, ShouldEqual, core.FailureNotSent)
		So(failure.ProvesNotRun(), ShouldBeTrue)
	})
}

func TestARequestIsNeverSentTwice(t *testing.T) {
	Convey("A connection that breaks under a request leads to one request only", t, func() {
		first := true
		server := serve(func(w http.ResponseWriter, request SearchRequest) {
			if first {
				first = false
				_ = json.NewEncoder(w).Encode(answer(request))
				return
			}
			hijack(w, "")
		})
		defer server.Close()
		clock := core.NewClock()
		client := New(clock, &net.Dialer{}, core.NewCounters())
		_, err := client.Search(context.Background(), server.target(1), attempt(clock))
		So(err, ShouldBeNil)
		_, err = client.Order(context.Background(), server.target(1), core.OrderAttempt{AttemptID: "a", QueryID: "q"})
		So(err, ShouldNotBeNil)
		So(server.requests.Load(), ShouldEqual, 2)
	})
}

func TestConnectionsAreOpenedAheadAndBounded(t *testing.T) {
	Convey("A probe opens all connections, and requests open no more", t, func() {
		server := serve(func(w http.ResponseWriter, request SearchRequest) {
			time.Sleep(5 * time.Millisecond)
			_ = json.NewEncoder(w).Encode(answer(request))
		})
		defer server.Close()
		clock := core.NewClock()
		client := New(clock, &net.Dialer{}, core.NewCounters())
		_, err := client.Probe(context.Background(), server.target(3))
		So(err, ShouldBeNil)
		time.Sleep(30 * time.Millisecond)
		So(server.connections.Load(), ShouldEqual, 3)
		done := make(chan error, 12)
		for i := range 12 {
			go func() {
				a := attempt(clock)
				a.AttemptID = fmt.Sprint(i)
				_, err := client.Search(context.Background(), server.target(3), a)
				done <- err
			}()
		}
		for range 12 {
			So(<-done, ShouldBeNil)
		}
		So(server.connections.Load(), ShouldEqual, 3)
	})
}

// BenchmarkSearch measures one sub-request over a connection, with the server's
// side in the same process.
func BenchmarkSearch(b *testing.B) {
	server := serve(func(w http.ResponseWriter, request SearchRequest) {
		_ = json.NewEncoder(w).Encode(answer(request))
	})
	defer server.Close()
	clock := core.NewClock()
	client := New(clock, &net.Dialer{}, core.NewCounters())
	target := server.target(1)
	a := attempt(clock)
	a.Deadline += core.Minute
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Search(context.Background(), target, a); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeReply measures the codec alone: what a sub-request still costs
// when many share one message.
func BenchmarkDecodeReply(b *testing.B) {
	raw, err := json.Marshal(answer(SearchRequest{QueryID: "q", AttemptID: "a", Ranges: []Range{{0, 100}}}))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var reply SearchReply
		if err := json.Unmarshal(raw, &reply); err != nil {
			b.Fatal(err)
		}
		_ = fromStatus(reply.Status)
	}
}
