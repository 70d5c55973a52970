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

// validReply returns a complete and correct reply to the request.
func validReply(request SearchRequest) SearchReply {
	return SearchReply{
		QueryID: request.QueryID, AttemptID: request.AttemptID, Outcome: OutcomeAnswered,
		Snapshot: request.Snapshot, Covered: request.Ranges,
		Records: []Record{{Key: "k", SchemaVersion: 1, Value: "v"}}, RecordCount: 1,
		Status: Status{Incarnation: 3, State: "live", Snapshots: map[string][]uint64{"c": {7}}},
		End:    request.AttemptID,
	}
}

// upstreamServer is an HTTP server that counts its connections and requests.
type upstreamServer struct {
	*httptest.Server
	connections atomic.Int64
	requests    atomic.Int64
	// status is the reply to status requests. If it is nil, they are handled like others.
	status atomic.Pointer[Status]
}

// newUpstreamServer starts a server that passes each decoded request to handle.
func newUpstreamServer(handle func(w http.ResponseWriter, request SearchRequest)) *upstreamServer {
	s := &upstreamServer{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		if status := s.status.Load(); r.URL.Path == PathStatus && status != nil {
			_ = json.NewEncoder(w).Encode(*status)
			return
		}
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

func (s *upstreamServer) target(connections int) core.Target {
	return core.Target{Name: "u", Address: strings.TrimPrefix(s.URL, "http://"), Service: "s", MaxConnections: connections}
}

func newAttempt(clock core.Clock) core.SearchAttempt {
	return core.SearchAttempt{
		QueryID: "q", AttemptID: "a", Collection: "c", Kind: "k", Snapshot: 7,
		Ranges: []core.KeyRange{{Start: 0, End: 100}}, Deadline: clock.Now() + core.Second,
	}
}

// replyAndClose writes text to the connection as it is and closes the connection.
func replyAndClose(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

func TestRepliesOfAnUpstream(t *testing.T) {
	reply := func(change func(r *SearchReply)) func(http.ResponseWriter, SearchRequest) {
		return func(w http.ResponseWriter, request SearchRequest) {
			r := validReply(request)
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
		{"valid", reply(func(*SearchReply) {}), "", true},
		{"for another attempt", reply(func(r *SearchReply) { r.AttemptID = "b" }), core.FailureBadReply, false},
		{"for another query", reply(func(r *SearchReply) { r.QueryID = "b" }), core.FailureBadReply, false},
		{"from another snapshot", reply(func(r *SearchReply) { r.Snapshot = 8 }), core.FailureBadReply, false},
		{"without its end field", reply(func(r *SearchReply) { r.End = "" }), core.FailureBadReply, false},
		{"with records missing", reply(func(r *SearchReply) { r.RecordCount = 2 }), core.FailureBadReply, false},
		{"with an unknown outcome", reply(func(r *SearchReply) { r.Outcome = "maybe" }), core.FailureBadReply, false},
		{"not run", reply(func(r *SearchReply) { r.Outcome, r.Reason = OutcomeNotRun, "shed" }), core.FailureNotRun, true},
		{"not run, for another attempt", reply(func(r *SearchReply) {
			r.Outcome, r.AttemptID = OutcomeNotRun, "b"
		}), core.FailureBadReply, false},
		{"from an upstream without the snapshot", reply(func(r *SearchReply) { r.Outcome, r.Reason = OutcomeNotRun, ReasonNoSnapshot }), core.FailureNoSnapshot, true},
		{"valid, but with the status of a failure", func(w http.ResponseWriter, request SearchRequest) {
			w.WriteHeader(http.StatusNotFound)
			_ = json.NewEncoder(w).Encode(validReply(request))
		}, core.FailureError, true},
		{"not run, with the status of a failure", func(w http.ResponseWriter, request SearchRequest) {
			w.WriteHeader(http.StatusServiceUnavailable)
			r := validReply(request)
			r.Outcome, r.Reason = OutcomeNotRun, "shed"
			_ = json.NewEncoder(w).Encode(r)
		}, core.FailureNotRun, true},
		{"not JSON", func(w http.ResponseWriter, _ SearchRequest) { _, _ = io.WriteString(w, "<html>") }, core.FailureBadReply, false},
		{"an error page without an outcome", func(w http.ResponseWriter, _ SearchRequest) { http.Error(w, "busy", http.StatusServiceUnavailable) }, core.FailureBadReply, false},
		{"not HTTP", func(w http.ResponseWriter, _ SearchRequest) { replyAndClose(w, "garbage\r\n\r\n") }, core.FailureLost, false},
		{"a closed connection", func(w http.ResponseWriter, _ SearchRequest) { replyAndClose(w, "") }, core.FailureLost, false},
		{"cut off", func(w http.ResponseWriter, _ SearchRequest) {
			replyAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"queryId\":")
		}, core.FailureLost, false},
		{"too large", func(w http.ResponseWriter, _ SearchRequest) {
			_, _ = io.WriteString(w, strings.Repeat(" ", core.MaxReplyBytes+1))
		}, core.FailureBadReply, false},
		{"too late", func(http.ResponseWriter, SearchRequest) { time.Sleep(120 * time.Millisecond) }, core.FailureTimeout, false},
	}
	Convey("A reply that is", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				server := newUpstreamServer(tc.handle)
				defer server.Close()
				clock := core.NewClock()
				client := New(clock, &net.Dialer{}, core.NewCounters())
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
				defer cancel()
				if tc.name == "too large" {
					ctx = context.Background()
				}
				got, err := client.Search(ctx, server.target(1), newAttempt(clock))
				if tc.want == "" {
					So(err, ShouldBeNil)
					So(got.Records, ShouldResemble, []core.Record{{Key: "k", SchemaVersion: 1, Value: "v"}})
					So(got.Status.Incarnation, ShouldEqual, 3)
				} else {
					var failure *core.AttemptError
					So(errors.As(err, &failure), ShouldBeTrue)
					So(failure.Kind, ShouldEqual, tc.want)
				}
				_, _ = client.Search(context.Background(), server.target(1), newAttempt(clock))
				So(server.connections.Load() == 1, ShouldEqual, tc.reused)
			})
		}
	})
}

// TestFailedStatusIsNotLive guards against a failed status request that makes an upstream count as
// live because its body looks like a status.
func TestFailedStatusIsNotLive(t *testing.T) {
	Convey("A status with the HTTP status of a failure is refused", t, func() {
		server := newUpstreamServer(func(w http.ResponseWriter, _ SearchRequest) {
			w.WriteHeader(http.StatusInternalServerError)
			_ = json.NewEncoder(w).Encode(Status{Incarnation: 3, State: "live"})
		})
		defer server.Close()
		_, err := New(core.NewClock(), &net.Dialer{}, core.NewCounters()).Probe(context.Background(), server.target(1))
		var failure *core.AttemptError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Kind, ShouldEqual, core.FailureError)
	})
}

// TestSearchReplyIsNoStatus guards against a late reply to a search that is taken for the status of
// its upstream, which would then have no incarnation and serve no snapshot.
func TestSearchReplyIsNoStatus(t *testing.T) {
	Convey("A status request refuses the reply to a search", t, func() {
		server := newUpstreamServer(func(w http.ResponseWriter, request SearchRequest) {
			_ = json.NewEncoder(w).Encode(validReply(request))
		})
		defer server.Close()
		_, err := New(core.NewClock(), &net.Dialer{}, core.NewCounters()).Probe(context.Background(), server.target(1))
		var failure *core.AttemptError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Kind, ShouldEqual, core.FailureBadReply)
	})
}

// TestRepliesThatBreakOff guards against a reply that breaks off and is taken for a whole one. The
// reply is cut at each of its bytes. Without a length it ends with its connection, so that only its
// content shows that something is missing.
func TestRepliesThatBreakOff(t *testing.T) {
	clock := core.NewClock()
	attempt := newAttempt(clock)
	attempt.Deadline += core.Minute
	body, err := json.Marshal(validReply(toSearchRequest(attempt, clock.Now())))
	if err != nil {
		t.Fatal(err)
	}
	for name, whole := range map[string]string{
		"with a length":    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"without a length": "HTTP/1.1 200 OK\r\n\r\n" + string(body),
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			sent.Store(int64(len(whole)))
			server := newUpstreamServer(func(w http.ResponseWriter, _ SearchRequest) { replyAndClose(w, whole[:sent.Load()]) })
			defer server.Close()
			client := New(clock, &net.Dialer{}, core.NewCounters())
			if _, err := client.Search(context.Background(), server.target(8), attempt); err != nil {
				t.Errorf("the whole reply was not accepted: %v", err)
			}
			for cut := range len(whole) {
				sent.Store(int64(cut))
				if _, err := client.Search(context.Background(), server.target(8), attempt); err == nil {
					t.Errorf("cut after byte %d of %d: accepted", cut, len(whole))
				}
			}
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	Convey("A refused connection proves that no byte of the request was sent", t, func() {
		server := newUpstreamServer(nil)
		target := server.target(1)
		server.Close()
		clock := core.NewClock()
		_, err := New(clock, &net.Dialer{}, core.NewCounters()).Search(context.Background(), target, newAttempt(clock))
		var failure *core.AttemptError
		So(errors.As(err, &failure), ShouldBeTrue)
		So(failure.Kind, ShouldEqual, core.FailureNotSent)
		So(failure.ProvesNotRun(), ShouldBeTrue)
	})
}

func TestRequestIsNotSentAgain(t *testing.T) {
	Convey("A request is not sent again after its connection breaks", t, func() {
		first := true
		server := newUpstreamServer(func(w http.ResponseWriter, request SearchRequest) {
			if first {
				first = false
				_ = json.NewEncoder(w).Encode(validReply(request))
				return
			}
			replyAndClose(w, "")
		})
		defer server.Close()
		clock := core.NewClock()
		client := New(clock, &net.Dialer{}, core.NewCounters())
		_, err := client.Search(context.Background(), server.target(1), newAttempt(clock))
		So(err, ShouldBeNil)
		_, err = client.Order(context.Background(), server.target(1), core.OrderAttempt{AttemptID: "a", QueryID: "q"})
		So(err, ShouldNotBeNil)
		So(server.requests.Load(), ShouldEqual, 2)
	})
}

func TestPreconnectAndConnectionLimit(t *testing.T) {
	Convey("A probe opens all allowed connections, and requests open no more", t, func() {
		server := newUpstreamServer(func(w http.ResponseWriter, request SearchRequest) {
			time.Sleep(5 * time.Millisecond)
			_ = json.NewEncoder(w).Encode(validReply(request))
		})
		defer server.Close()
		server.status.Store(&Status{Incarnation: 3, State: "live"})
		clock := core.NewClock()
		client := New(clock, &net.Dialer{}, core.NewCounters())
		_, err := client.Probe(context.Background(), server.target(3))
		So(err, ShouldBeNil)
		time.Sleep(30 * time.Millisecond)
		So(server.connections.Load(), ShouldEqual, 3)
		done := make(chan error, 12)
		for i := range 12 {
			go func() {
				a := newAttempt(clock)
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

// BenchmarkSearch measures one search request over an open connection. The server
// runs in the same process.
func BenchmarkSearch(b *testing.B) {
	server := newUpstreamServer(func(w http.ResponseWriter, request SearchRequest) {
		_ = json.NewEncoder(w).Encode(validReply(request))
	})
	defer server.Close()
	clock := core.NewClock()
	client := New(clock, &net.Dialer{}, core.NewCounters())
	target := server.target(1)
	a := newAttempt(clock)
	a.Deadline += core.Minute
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Search(context.Background(), target, a); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeReply measures the decoding of a reply without the transport. This
// is the cost per search request that remains if many share one message.
func BenchmarkDecodeReply(b *testing.B) {
	raw, err := json.Marshal(validReply(SearchRequest{QueryID: "q", AttemptID: "a", Ranges: []Range{{0, 100}}}))
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

// TestWaitForConnectionIsConfirmed guards against a request that is sent to an upstream that began to
// leave while the request waited for a connection, or while the process was suspended after the
// permit for the request was granted.
func TestWaitForConnectionIsConfirmed(t *testing.T) {
	cases := []struct {
		name string
		// held is how long another request holds the only connection.
		held      time.Duration
		confirmed error
		sent      int64
		want      core.FailureKind
	}{
		{"after a wait, the upstream is leaving", 50 * time.Millisecond, core.ErrNotSendable, 2, core.FailureNotSent},
		{"after a wait, the upstream is in use", 50 * time.Millisecond, nil, 3, ""},
		{"without a wait, the upstream is leaving", 0, core.ErrNotSendable, 2, core.FailureNotSent},
	}
	Convey("A request that is sent", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				server := newUpstreamServer(func(w http.ResponseWriter, request SearchRequest) {
					if request.QueryID == "holder" {
						time.Sleep(tc.held)
					}
					_ = json.NewEncoder(w).Encode(validReply(request))
				})
				defer server.Close()
				clock := core.NewClock()
				client := New(clock, &net.Dialer{}, core.NewCounters())
				holder := newAttempt(clock)
				holder.QueryID = "holder"
				_, err := client.Search(context.Background(), server.target(1), holder)
				So(err, ShouldBeNil)
				held := make(chan error, 1)
				if tc.held > 0 {
					go func() {
						_, err := client.Search(context.Background(), server.target(1), holder)
						held <- err
					}()
					time.Sleep(tc.held / 5)
				} else {
					_, err := client.Search(context.Background(), server.target(1), holder)
					held <- err
				}
				attempt := newAttempt(clock)
				attempt.Confirm = func(context.Context) error { return tc.confirmed }
				_, err = client.Search(context.Background(), server.target(1), attempt)
				So(<-held, ShouldBeNil)
				So(server.requests.Load(), ShouldEqual, tc.sent)
				if tc.want == "" {
					So(err, ShouldBeNil)
					return
				}
				var failure *core.AttemptError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Kind, ShouldEqual, tc.want)
				attempt.Confirm = nil
				_, err = client.Search(context.Background(), server.target(1), attempt)
				So(err, ShouldBeNil)
			})
		}
	})
}
