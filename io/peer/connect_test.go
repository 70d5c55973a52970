package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

// TestCallsDuringBackoff guards against tickets and orders that are lost because gRPC fails calls at once
// during the back-off after a failed connection, although the peer has begun to listen meanwhile.
func TestCallsDuringBackoff(t *testing.T) {
	ticket := core.Ticket{Home: core.Home{Instance: "n", Incarnation: 3}, Address: "127.0.0.1:1", Expires: 4}
	book := core.BookCopy{Home: ticket.Home, Secret: []byte("s")}
	Convey("Given an instance that listens shortly after a connection to it has failed", t, func() {
		f := newFixture()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		defer f.client.Close()
		stopped, cancelStop := context.WithCancel(context.Background())
		cancelStop()
		f.server.Stop(stopped)
		_, err := f.client.Exchange(ctx, f.address, soundMessage)
		So(err, ShouldNotBeNil)
		again := NewServer(core.NewClock(), f.handler, f.counters, logr.Discard())
		defer again.Stop(stopped)
		listen := func() {
			listener, err := net.Listen("tcp", f.address)
			So(err, ShouldBeNil)
			go func() { _ = again.Serve(listener) }()
		}
		Convey("it takes tickets over", func() {
			listen()
			So(f.client.TakeOver(ctx, f.address, book), ShouldBeNil)
			So(f.handler.book.Home, ShouldResemble, book.Home)
		})
		Convey("it runs an order", func() {
			listen()
			f.handler.answer = core.Answer{Outcome: core.OutcomeAnswered, Result: "booked"}
			answer, err := f.client.ForwardOrder(ctx, f.address, ticket, core.Request{ID: "r"})
			So(err, ShouldBeNil)
			So(answer.Result, ShouldEqual, "booked")
		})
		Convey("and has certainly not taken tickets over if it does not listen", func() {
			err := f.client.TakeOver(ctx, f.address, book)
			So(errors.Is(err, errTakeOverRefused), ShouldBeTrue)
			So(errors.Is(err, core.ErrPeerUnreachable), ShouldBeFalse)
		})
	})
}
