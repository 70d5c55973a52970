package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

// fakeService returns the answer that a test sets and records the requests and the ticket
// that it receives.
type fakeService struct {
	answer   core.Answer
	ready    bool
	requests []core.Request
	ticket   core.Ticket
}

func (f *fakeService) Query(_ context.Context, request core.Request) core.Answer {
	f.requests = append(f.requests, request)
	answer := f.answer
	answer.RequestID = request.ID
	return answer
}

func (f *fakeService) Order(ctx context.Context, ticket core.Ticket, request core.Request) core.Answer {
	f.ticket = ticket
	return f.Query(ctx, request)
}

func (f *fakeService) MintTicket(context.Context) core.Ticket {
	return core.Ticket{Home: core.Home{Instance: "n", Incarnation: 5}, Address: "127.0.0.1:1", Expires: 9, Nonce: [16]byte{1}}
}

func (f *fakeService) Ready() bool { return f.ready }

func newTestServer(service *fakeService) *httptest.Server {
	server := New(core.NewClockFrom(func() core.Millis { return 1000 }), "n", service, core.NewCounters(),
		func(core.Answer) {}, func() string { return "chosen" }, logr.Discard())
	return httptest.NewServer(server.Handler())
}

// postRaw posts a body as it is and decodes the answer.
func postRaw(server *httptest.Server, path, body string) (int, AnswerBody) {
	response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
	So(err, ShouldBeNil)
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	var answer AnswerBody
	So(json.Unmarshal(raw, &answer), ShouldBeNil)
	So(response.Header.Get("Acaciavane-Outcome"), ShouldEqual, answer.Outcome)
	return response.StatusCode, answer
}

func TestRefusedRequests(t *testing.T) {
	cases := []struct {
		name, path, body string
		status           int
		reason           core.Reason
	}{
		{"not JSON", PathQuery, "x", 400, core.ReasonMalformed},
		{"an empty body", PathQuery, "", 400, core.ReasonMalformed},
		{"an unknown field", PathQuery, `{"collektion": "c"}`, 400, core.ReasonMalformed},
		{"more than one value", PathQuery, `{} {}`, 400, core.ReasonMalformed},
		{"a body that is too large", PathQuery, `{"body": "` + strings.Repeat("x", core.MaxBodyBytes+maxEnvelopeBytes) + `"}`, 413, core.ReasonTooLarge},
		{"an identifier that is too long", PathQuery, `{"requestId": "` + strings.Repeat("x", core.MaxRequestIDBytes+1) + `"}`, 413, core.ReasonTooLarge},
		{"a negative timeout", PathQuery, `{"timeoutMillis": -1}`, 400, core.ReasonDeadlinePassed},
		{"an order without a ticket", PathOrders, `{"key": "k"}`, 400, core.ReasonTicketInvalid},
		{"an order with a malformed ticket", PathOrders, `{"key": "k", "ticket": "e30"}`, 400, core.ReasonTicketInvalid},
	}
	Convey("The server refuses", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				service := &fakeService{ready: true}
				server := newTestServer(service)
				defer server.Close()
				status, answer := postRaw(server, tc.path, tc.body)
				So(status, ShouldEqual, tc.status)
				So(answer.Outcome, ShouldEqual, string(core.OutcomeNotRun))
				So(answer.Reason, ShouldEqual, string(tc.reason))
				So(answer.RequestID, ShouldNotBeEmpty)
				So(service.requests, ShouldBeEmpty)
			})
		}
		Convey("every request while the instance is not ready", func() {
			server := newTestServer(&fakeService{})
			defer server.Close()
			status, answer := postRaw(server, PathQuery, `{}`)
			So(status, ShouldEqual, 503)
			So(answer.Reason, ShouldEqual, string(core.ReasonNotReady))
		})
	})
}

// TestOrderWhileNotReady covers an order that is sent again to an instance that has
// just started. The order may have run elsewhere, so the instance must not report
// that it was not run.
func TestOrderWhileNotReady(t *testing.T) {
	Convey("An order with a ticket has an unknown outcome while the instance is not ready", t, func() {
		service := &fakeService{}
		server := newTestServer(service)
		defer server.Close()
		ticket := encodeTicket(core.Ticket{Home: core.Home{Instance: "n", Incarnation: 5}, Address: "127.0.0.1:1", Expires: 9})
		_, answer := postRaw(server, PathOrders, `{"key": "k", "ticket": "`+ticket+`"}`)
		So(answer.Outcome, ShouldEqual, string(core.OutcomeUnknown))
		So(answer.Reason, ShouldEqual, string(core.ReasonNotReady))
		So(service.requests, ShouldBeEmpty)
	})
}

func TestAnswers(t *testing.T) {
	complete := core.Coverage{Covered: 10, Total: 10}
	cases := []struct {
		name   string
		answer core.Answer
		status int
	}{
		{"a complete answer", core.Answer{Outcome: core.OutcomeAnswered, Coverage: complete, Snapshot: 7, Sufficient: true}, 200},
		{"a partial answer", core.Answer{Outcome: core.OutcomeAnswered, Coverage: core.Coverage{Covered: 4, Total: 10, Missing: []core.KeyRange{{Start: 4, End: 10}}}}, 206},
		{"the answer to an order", core.Answer{Outcome: core.OutcomeAnswered, Result: "booked", Sufficient: true}, 200},
		{"overload", core.Refuse("", core.ReasonOverloaded, ""), 429},
		{"a request that crashes upstreams", core.Refuse("", core.ReasonCrashesUpstreams, ""), 422},
		{"a duplicate identifier", core.Refuse("", core.ReasonDuplicateID, ""), 409},
		{"an unknown collection", core.Refuse("", core.ReasonUnknownCollection, ""), 404},
		{"an unreachable instance that minted the ticket", core.Unknown("", core.ReasonHomeLost, ""), 502},
		{"a timeout", core.Unknown("", core.ReasonTimeout, ""), 504},
	}
	Convey("The caller receives the status and body for", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				server := newTestServer(&fakeService{ready: true, answer: tc.answer})
				defer server.Close()
				status, answer := postRaw(server, PathQuery, `{"requestId": "r"}`)
				So(status, ShouldEqual, tc.status)
				So(answer.RequestID, ShouldEqual, "r")
				So(answer.Outcome, ShouldEqual, string(tc.answer.Outcome))
				So(answer.Sufficient, ShouldEqual, tc.answer.Sufficient)
				if tc.answer.Coverage.Total > 0 {
					So(answer.Coverage.Covered, ShouldEqual, tc.answer.Coverage.Covered)
					So(answer.Coverage.Missing, ShouldHaveLength, len(tc.answer.Coverage.Missing))
				}
			})
		}
	})
}

func TestDeadlinesAndTickets(t *testing.T) {
	Convey("Given a server at time 1000", t, func() {
		service := &fakeService{ready: true, answer: core.Answer{Outcome: core.OutcomeAnswered}}
		server := newTestServer(service)
		defer server.Close()
		Convey("the earlier one of timeout and deadline applies", func() {
			for body, want := range map[string]core.Millis{
				`{}`:                    0,
				`{"timeoutMillis": 50}`: 1050,
				`{"deadlineUnixMillis": 1020, "timeoutMillis": 50}`: 1020,
				`{"deadlineUnixMillis": 900}`:                       900,
			} {
				service.requests = nil
				postRaw(server, PathQuery, body)
				So(service.requests[0].Deadline, ShouldEqual, want)
			}
		})
		Convey("a ticket is unchanged when the caller sends it back", func() {
			client := NewClient(strings.TrimPrefix(server.URL, "http://"))
			defer client.Close()
			ticket, err := client.MintTicket(context.Background())
			So(err, ShouldBeNil)
			_, err = client.Order(context.Background(), RequestBody{Key: "k", Ticket: ticket.Ticket})
			So(err, ShouldBeNil)
			So(service.ticket, ShouldResemble, service.MintTicket(context.Background()))
		})
	})
}
