package peer

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

// fakeHandler is a Handler that records the arguments of its calls and returns preset results.
type fakeHandler struct {
	received core.ExchangeMessage
	reply    core.ExchangeMessage
	ticket   core.Ticket
	request  core.Request
	book     core.BookCopy
	answer   core.Answer
	leaving  bool
	// delegated is the last delegated request, and delegatedAnswer is returned for it.
	delegated       core.DelegatedRequest
	delegatedAnswer core.DelegatedAnswer
	// group is the last group request. AnswerGroup sends reports for it and then returns
	// groupErr.
	group    core.GroupRequest
	reports  []core.GroupReport
	groupErr error
	// panics makes Receive and AnswerGroup panic.
	panics bool
}

func (f *fakeHandler) AnswerGroup(_ context.Context, request core.GroupRequest, report func(core.GroupReport) error) error {
	f.group = request
	if f.panics {
		panic("unexpected")
	}
	for _, r := range f.reports {
		if err := report(r); err != nil {
			return err
		}
	}
	return f.groupErr
}

func (f *fakeHandler) Receive(message core.ExchangeMessage) core.ExchangeMessage {
	if f.panics {
		panic("unexpected")
	}
	f.received = message
	return f.reply
}

func (f *fakeHandler) RunForwarded(_ context.Context, ticket core.Ticket, request core.Request) core.Answer {
	f.ticket, f.request = ticket, request
	return f.answer
}

func (f *fakeHandler) AnswerDelegated(_ context.Context, request core.DelegatedRequest) core.DelegatedAnswer {
	f.delegated = request
	return f.delegatedAnswer
}

func (f *fakeHandler) Mint() core.Ticket        { return f.ticket }
func (f *fakeHandler) Adopt(book core.BookCopy) { f.book = book }
func (f *fakeHandler) Leaving() bool            { return f.leaving }

// GrantTokens grants all tokens and names the zone and the unreachable instances as redirect.
func (f *fakeHandler) GrantTokens(request core.TokenRequest) core.TokenReply {
	reply := core.TokenReply{Redirect: request.Zone + "/" + strings.Join(request.Unreachable, "/")}
	for _, want := range request.Wants {
		reply.Grants = append(reply.Grants, core.TokenGrant{Upstream: want.Upstream, Count: want.Count, Wait: core.Millis(want.PerSecond)})
	}
	return reply
}

// fixture is a server with a fake handler and a client that calls it.
type fixture struct {
	handler  *fakeHandler
	counters *core.Counters
	server   *Server
	client   *Client
	address  string
}

func newFixture() *fixture {
	f := &fixture{handler: &fakeHandler{}, counters: core.NewCounters()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	f.address = listener.Addr().String()
	f.server = NewServer(core.NewClock(), f.handler, f.counters, logr.Discard())
	go func() { _ = f.server.Serve(listener) }()
	f.client = NewClient(core.NewClock(), f.counters, &net.Dialer{})
	return f
}

func (f *fixture) close() {
	f.client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.server.Stop(ctx)
}

func TestPeers(t *testing.T) {
	info := core.PeerInfo{Name: "n", Zone: "z", Address: "127.0.0.1:1", Incarnation: 3}
	exchange := core.ExchangeMessage{
		From: info, ConfigurationVersion: 4, ConfigurationDigest: "d", Configuration: []byte("c"),
		ListRevision: 5, InstanceList: []byte("l"), PlatformAge: 6, Sequence: 7, SeenIncarnation: 8, SeenSequence: 9, Wants: true, Joining: true,
		Facts: []core.Fact{{Kind: core.FactVerdict, Subject: "f", Stamp: 2, Verdict: core.VerdictSuspect, Crashes: 1, Address: "a", Age: 3},
			{Kind: core.FactUpstreamLimit, Subject: "u", Stamp: 2, Incarnation: 4, Limited: true, LimitPerSecond: 2.5},
			{Kind: core.FactUpstreamCold, Subject: "u", Stamp: 3, Incarnation: 4, ColdRemaining: 2500, Age: 3}},
	}
	ticket := core.Ticket{Home: core.Home{Instance: "n", Incarnation: 3}, Address: "127.0.0.1:1", Expires: 4, Nonce: [16]byte{5}, Proof: [32]byte{6}}
	Convey("Given two instances", t, func() {
		f := newFixture()
		defer f.close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Convey("an exchange is transferred completely in both directions", func() {
			f.handler.reply = exchange
			reply, err := f.client.Exchange(ctx, f.address, exchange)
			So(err, ShouldBeNil)
			So(f.handler.received, ShouldResemble, exchange)
			So(reply, ShouldResemble, exchange)
			So(f.counters.Get(core.CountPeerBytes), ShouldBeGreaterThan, 0)
		})
		Convey("an exchange without a sender is rejected and counted", func() {
			_, err := f.client.Exchange(ctx, f.address, core.ExchangeMessage{})
			So(err, ShouldNotBeNil)
			So(f.counters.Get(core.CountMalformedPeerMessages), ShouldEqual, 1)
		})
		Convey("a fact with a limit that is not a number is rejected", func() {
			for _, limit := range []float64{math.NaN(), math.Inf(1), -1} {
				message := core.ExchangeMessage{From: info, Facts: []core.Fact{{Kind: core.FactUpstreamLimit, LimitPerSecond: limit}}}
				_, err := f.client.Exchange(ctx, f.address, message)
				So(status.Code(err), ShouldEqual, codes.InvalidArgument)
			}
		})
		Convey("tokens are requested and granted", func() {
			reply, err := f.client.TakeTokens(ctx, f.address, core.TokenRequest{
				Zone: "z", Unreachable: []string{"a", "b"}, Wants: []core.TokenWant{{Upstream: "u", PerSecond: 250, Count: 3}, {Upstream: "v", PerSecond: 0, Count: 1e6}}})
			So(err, ShouldBeNil)
			So(reply, ShouldResemble, core.TokenReply{Redirect: "z/a/b", Grants: []core.TokenGrant{
				{Upstream: "u", Count: 3, Wait: 250}, {Upstream: "v", Count: core.MaxTokensPerRequest}}})
		})
		Convey("a request for tokens with a limit that is not a number is rejected", func() {
			_, err := f.client.TakeTokens(ctx, f.address, core.TokenRequest{Wants: []core.TokenWant{{Upstream: "u", PerSecond: math.NaN()}}})
			So(status.Code(errors.Unwrap(err)), ShouldEqual, codes.InvalidArgument)
		})
		Convey("an order arrives with its ticket and the time until its deadline", func() {
			f.handler.answer = core.Answer{Outcome: core.OutcomeAnswered, Result: "booked", Sufficient: true, Attempts: 1, Shards: 1}
			request := core.Request{ID: "r", Collection: "c", Kind: "k", Key: "key", Body: "b", Deadline: core.NewClock().Now() + core.Second}
			answer, err := f.client.ForwardOrder(ctx, f.address, ticket, request)
			So(err, ShouldBeNil)
			So(answer, ShouldResemble, f.handler.answer)
			So(f.handler.ticket, ShouldResemble, ticket)
			So(f.handler.request.Fingerprint(), ShouldEqual, request.Fingerprint())
			So(f.handler.request.Deadline-request.Deadline, ShouldBeBetween, -core.Second, core.Second)
		})
		Convey("an answer with an invalid outcome counts as no answer", func() {
			_, err := f.client.ForwardOrder(ctx, f.address, ticket, core.Request{ID: "r"})
			So(errors.Is(err, core.ErrPeerUnreachable), ShouldBeTrue)
		})
		Convey("a ticket is minted, except by an instance that is leaving", func() {
			f.handler.ticket = ticket
			minted, err := f.client.MintTicket(ctx, f.address)
			So(err, ShouldBeNil)
			So(minted, ShouldResemble, ticket)
			f.handler.leaving = true
			_, err = f.client.MintTicket(ctx, f.address)
			So(err, ShouldNotBeNil)
		})
		Convey("tickets are taken over with all their runs, except by an instance that is leaving", func() {
			book := core.BookCopy{Home: ticket.Home, Secret: []byte("s"), Runs: []core.RunCopy{{
				Nonce: [16]byte{1}, Fingerprint: "f", Expires: 2, Answer: core.Unknown("", core.ReasonTimeout, "d"),
			}}}
			So(f.client.TakeOver(ctx, f.address, book), ShouldBeNil)
			So(f.handler.book, ShouldResemble, book)
			f.handler.leaving = true
			err := f.client.TakeOver(ctx, f.address, book)
			So(err, ShouldNotBeNil)
			So(errors.Is(err, core.ErrPeerUnreachable), ShouldBeFalse)
		})
		Convey("a panic ends the call but not the process", func() {
			f.handler.panics = true
			_, err := f.client.Exchange(ctx, f.address, exchange)
			So(status.Code(err), ShouldEqual, codes.Internal)
			So(f.counters.Get(core.CountMalformedPeerMessages), ShouldEqual, 1)
			f.handler.panics = false
			_, err = f.client.Exchange(ctx, f.address, exchange)
			So(status.Code(err), ShouldNotEqual, codes.Internal)
		})
		Convey("a connection without the HTTP/2 preface is closed and counted", func() {
			for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x01\x02", "PRI * HTTP/1.0\r\n\r\n"} {
				connection, err := net.Dial("tcp", f.address)
				So(err, ShouldBeNil)
				_, _ = io.WriteString(connection, text)
				_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, _ = io.Copy(io.Discard, connection)
				_ = connection.Close()
			}
			So(f.counters.Get(core.CountMalformedPeerMessages), ShouldEqual, 3)
			f.handler.reply = exchange
			_, err := f.client.Exchange(ctx, f.address, exchange)
			So(err, ShouldBeNil)
		})
	})
	Convey("A peer that has stopped is unreachable", t, func() {
		f := newFixture()
		f.close()
		client := NewClient(core.NewClock(), f.counters, &net.Dialer{})
		defer client.Close()
		_, err := client.ForwardOrder(context.Background(), f.address, ticket, core.Request{})
		So(errors.Is(err, core.ErrPeerUnreachable), ShouldBeTrue)
	})
}

func TestMalformedMessages(t *testing.T) {
	Convey("Tickets, books and orders without their required fields are malformed", t, func() {
		_, err := fromTicket(&peerpb.Ticket{Nonce: []byte{1}})
		So(errors.Is(err, ErrMalformed), ShouldBeTrue)
		_, err = fromBook(&peerpb.Book{})
		So(errors.Is(err, ErrMalformed), ShouldBeTrue)
		_, _, err = fromOrder(&peerpb.OrderRequest{}, 0)
		So(errors.Is(err, ErrMalformed), ShouldBeTrue)
	})
}
