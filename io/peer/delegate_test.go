package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

func TestDelegatedRequests(t *testing.T) {
	request := core.DelegatedRequest{
		Request: core.RoutedRequest{ID: "id", Message: core.Message{
			Method: "POST", Host: "h", Target: "/a//b/../\xff?q=\xfe",
			Fields: []core.Field{{Name: "X-A", Value: "\xfc"}, {Name: "X-A", Value: "2"}}, Body: []byte{0, 255},
		}},
		ConfigurationVersion: 4, Configuration: []byte("c"), Elapsed: 5, Remaining: 60,
	}
	answers := map[string]core.DelegatedAnswer{
		"from one upstream": {Answer: core.RoutedAnswer{
			Outcome: core.OutcomeAnswered, Route: "r", Service: "s", Attempts: 2, ConfigurationVersion: 4,
			Reply: core.Some(core.RoutedReply{Status: 500, Fields: []core.Field{{Name: "X-S", Value: "\xfb"}}, Body: []byte("b")}),
		}},
		"merged from several shards": {Answer: core.RoutedAnswer{
			Outcome: core.OutcomeAnswered, MissingShards: "s1:sent",
			Merged: core.Some(core.MergedReply{Signatures: []string{"a", "b"}, Missing: 1, Records: []byte("0123456789abcdef")}),
		}},
		"that refuses the request": {
			Answer:        core.RoutedAnswer{Outcome: core.OutcomeNotRun, Reason: core.ReasonOtherConfiguration, Detail: "d", RetryAfter: 20, CloseConnection: true},
			Configuration: []byte("newer"),
		},
	}
	Convey("Given two instances", t, func() {
		f := newFixture()
		defer f.close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		for name, answer := range answers {
			Convey("the request is transferred byte for byte, and so is an answer "+name, func() {
				f.handler.delegatedAnswer = answer
				got, err := f.client.Delegate(ctx, f.address, request, func() {})
				So(err, ShouldBeNil)
				So(got, ShouldResemble, answer)
				So(f.handler.delegated, ShouldResemble, request)
			})
		}
		Convey("an answer without content is malformed and does not prove that the request did not run", func() {
			f.handler.delegatedAnswer = core.DelegatedAnswer{Answer: core.RoutedAnswer{Outcome: core.OutcomeAnswered}}
			_, err := f.client.Delegate(ctx, f.address, request, func() {})
			So(errors.Is(err, ErrMalformed), ShouldBeTrue)
			So(errors.Is(err, core.ErrNotDelivered), ShouldBeFalse)
		})
		for _, status := range []int{0, 42, 99, 100, 101, 600, 999} {
			Convey(fmt.Sprintf("an answer with status %03d is malformed and does not prove that the request did not run", status), func() {
				f.handler.delegatedAnswer = core.DelegatedAnswer{Answer: core.RoutedAnswer{
					Outcome: core.OutcomeAnswered, Reply: core.Some(core.RoutedReply{Status: status}),
				}}
				_, err := f.client.Delegate(ctx, f.address, request, func() {})
				So(errors.Is(err, ErrMalformed), ShouldBeTrue)
				So(errors.Is(err, core.ErrNotDelivered), ShouldBeFalse)
			})
		}
		Convey("a malformed request is rejected and counted, and the client knows that it did not run", func() {
			_, err := f.client.Delegate(ctx, f.address, core.DelegatedRequest{}, func() {})
			So(errors.Is(err, core.ErrNotDelivered), ShouldBeTrue)
			So(f.counters.Get(core.CountMalformedPeerMessages), ShouldEqual, 1)
		})
	})
	Convey("A request to a peer that has stopped is reported as not delivered", t, func() {
		f := newFixture()
		f.close()
		client := NewClient(core.NewClock(), f.counters, &net.Dialer{})
		defer client.Close()
		_, err := client.Delegate(context.Background(), f.address, request, func() {})
		So(errors.Is(err, core.ErrNotDelivered), ShouldBeTrue)
	})
	Convey("A request is not reported as undelivered if the connection breaks after its delivery", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ran := make(chan struct{})
		handler := &blockingHandler{fakeHandler: &fakeHandler{}, ran: ran}
		server := NewServer(core.NewClock(), handler, core.NewCounters(), logr.Discard())
		go func() { _ = server.Serve(listener) }()
		confirmed := make(chan struct{})
		go func() {
			<-ran
			// The instance confirms the request before it answers it.
			<-confirmed
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			server.Stop(ctx)
		}()
		client := NewClient(core.NewClock(), core.NewCounters(), &net.Dialer{})
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		So(client.Confirms(listener.Addr().String()), ShouldBeFalse)
		_, err = client.Delegate(ctx, listener.Addr().String(), request, func() { close(confirmed) })
		So(err, ShouldNotBeNil)
		So(errors.Is(err, core.ErrNotDelivered), ShouldBeFalse)
		So(client.Confirms(listener.Addr().String()), ShouldBeTrue)
	})
}

// blockingHandler closes ran when a delegated request arrives and does not answer it before the
// call is cancelled.
type blockingHandler struct {
	*fakeHandler
	ran chan struct{}
}

func (b *blockingHandler) AnswerDelegated(ctx context.Context, _ core.DelegatedRequest) core.DelegatedAnswer {
	close(b.ran)
	<-ctx.Done()
	return core.DelegatedAnswer{}
}

func FuzzRoutedMessages(f *testing.F) {
	f.Add("id", "GET", "/p", int64(1), int64(1), "answered", true)
	f.Add("", "", "", int64(-1), int64(0), "x", false)
	f.Fuzz(func(t *testing.T, id, method, target string, elapsed, remaining int64, outcome string, merged bool) {
		request, err := fromRoutedRequest(&peerpb.RoutedRequest{
			Id: []byte(id), Method: method, Target: []byte(target), ElapsedMillis: elapsed, LeftMillis: remaining,
		})
		if err == nil && (request.Remaining <= 0 || request.Elapsed < 0 || request.Request.ID != id) {
			t.Errorf("got %+v", request)
		}
		wire := &peerpb.RoutedAnswer{Outcome: outcome}
		if merged {
			wire.Merged = &peerpb.MergedReply{}
		}
		answer, err := fromRoutedAnswer(wire)
		if _, has := answer.Answer.Merged.Get(); err == nil && has != (answer.Answer.Outcome == core.OutcomeAnswered) {
			t.Errorf("got %+v", answer)
		}
	})
}
