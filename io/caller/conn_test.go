package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

// chargedServer is a server of the interface for callers whose connections are charged to a budget
// of 1 MiB.
type chargedServer struct {
	http.Server
	address string
	service *fakeService
	budget  *core.ConnectionBudget
}

func newChargedServer() *chargedServer {
	s := &chargedServer{service: &fakeService{ready: true, answer: core.Answer{Outcome: core.OutcomeAnswered}}}
	s.budget = core.NewConnectionBudget(core.NewClock(), core.ConnectionLimits{Bytes: 1 << 20}, core.NewCounters(), nil)
	mux := http.NewServeMux()
	mux.Handle("/", New(core.NewClock(), "n", s.service, core.NewCounters(), func(core.Answer) {}, func() string { return "chosen" }, logr.Discard()).Handler())
	mux.HandleFunc("/panic", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = ReadBody(r, core.MaxBodyBytes, 1)
		panic(http.ErrAbortHandler)
	})
	s.Server = http.Server{Handler: Charged(mux), ConnState: Observe, ConnContext: ConnContext}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s.address = listener.Addr().String()
	go func() { _ = s.Serve(NewListener(listener, s.budget, true)) }()
	return s
}

// post sends a request with the given header fields and body on a new connection. It returns the
// status and the header, or status 0 if there is no answer.
func (s *chargedServer) post(path, fields, body string) (int, http.Header) {
	conn, err := net.Dial("tcp", s.address)
	So(err, ShouldBeNil)
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s\r\n%s", path, fields, body)
	_ = conn.(*net.TCPConn).CloseWrite()
	return readAnswer(conn)
}

// eventuallyEmpty waits until the budget holds nothing.
func (s *chargedServer) eventuallyEmpty() {
	for range 300 {
		if state := s.budget.State(); state.Bytes == 0 && state.Connections == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	So(s.budget.State(), ShouldResemble, core.ConnectionBudgetState{})
}

// TestChargesAreReturned guards against memory that stays charged after a request or a connection
// has ended in whatever way.
func TestChargesAreReturned(t *testing.T) {
	body := `{"body": "` + strings.Repeat("x", 100<<10) + `"}`
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	const chunked = "Transfer-Encoding: chunked\r\n"
	cases := []struct {
		name, path, fields, body string
		status                   int
	}{
		{"a body with a length", PathQuery, length, body, 200},
		{"a chunked body", PathQuery, chunked, chunk + "0\r\n\r\n", 200},
		{"a chunked body with a trailer", PathQuery, chunked, chunk + "0\r\nA: b\r\n\r\n", 200},
		{"a body that stops short", PathQuery, length, body[1:], 400},
		{"a chunked body that stops short", PathQuery, chunked, chunk, 400},
		{"invalid chunk framing", PathQuery, chunked, chunk + "x\r\n", 400},
		{"a chunked body that is too large", PathQuery, chunked, strings.Repeat(chunk, 3), 413},
		{"a body whose length is too large", PathQuery, "Content-Length: 999999999\r\n", "", 413},
		{"an unknown path", "/unknown", length, body, 404},
		{"a large head", PathQuery, "X-Large: " + strings.Repeat("x", 20<<10) + "\r\n" + length, body, 200},
		{"a head that stops short", PathQuery, "X-Large: " + strings.Repeat("x", 20<<10), "", 0},
		{"a handler that panics", "/panic", length, body, 0},
	}
	Convey("Nothing is held after", t, func() {
		server := newChargedServer()
		defer func() { _ = server.Close() }()
		for _, tc := range cases {
			Convey(tc.name, func() {
				status, _ := server.post(tc.path, tc.fields, tc.body)
				// net/http answers a head that stops short with 400 or not at all.
				if tc.name != "a head that stops short" {
					So(status, ShouldEqual, tc.status)
				}
				server.eventuallyEmpty()
			})
		}
	})
}

// TestRequestsWithoutMemory guards against refusals that claim that an order has not run, against
// requests that run although they were refused, and against a refusal without Retry-After.
func TestRequestsWithoutMemory(t *testing.T) {
	Convey("Given a server whose memory is held for a request that is being executed", t, func() {
		server := newChargedServer()
		defer func() { _ = server.Close() }()
		holder, err := server.budget.Open(context.Background(), func() {})
		So(err, ShouldBeNil)
		holder.Enter(core.PhaseExecuting)
		So(holder.TryCharge(768<<10), ShouldBeTrue)
		body := `{"body": "` + strings.Repeat("x", 100<<10) + `"}`
		length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		Convey("a large query is refused with 503 and is not run", func() {
			status, header := server.post(PathQuery, length, body)
			So(status, ShouldEqual, 503)
			So(header.Get("Retry-After"), ShouldNotBeEmpty)
			So(header.Get("Acaciavane-Outcome"), ShouldEqual, string(core.OutcomeNotRun))
			So(server.service.requests, ShouldBeEmpty)
		})
		Convey("a large order has an unknown outcome", func() {
			status, header := server.post(PathOrders, length, body)
			So(status, ShouldEqual, 502)
			So(header.Get("Retry-After"), ShouldBeEmpty)
			So(server.service.requests, ShouldBeEmpty)
		})
		Convey("a small query is answered", func() {
			status, _ := server.post(PathQuery, "Content-Length: 2\r\n", "{}")
			So(status, ShouldEqual, 200)
		})
		Convey("a large answer is not sent, and its outcome is unknown", func() {
			server.service.answer.Records = []core.Record{{Key: "k", Value: strings.Repeat("x", 100<<10)}}
			status, header := server.post(PathQuery, "Content-Length: 2\r\n", "{}")
			So(status, ShouldEqual, 502)
			So(header.Get("Acaciavane-Outcome"), ShouldEqual, string(core.OutcomeUnknown))
		})
		Convey("a large query is answered once the memory is returned", func() {
			holder.Close()
			status, _ := server.post(PathQuery, length, body)
			So(status, ShouldEqual, 200)
		})
	})
}

// readAnswer returns the status and the header of an answer that was read completely.
func readAnswer(conn net.Conn) (int, http.Header) {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	raw, _ := io.ReadAll(conn)
	head, _, _ := strings.Cut(string(raw), "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	var status int
	if _, err := fmt.Sscanf(lines[0], "HTTP/1.1 %d", &status); err != nil {
		return 0, nil
	}
	header := http.Header{}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		header.Add(name, value)
	}
	return status, header
}
