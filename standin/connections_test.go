package main

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/standin/lab"
)

// acceptPair returns both sides of a new connection.
func acceptPair(listener net.Listener) (caller net.Conn, accepted net.Conn) {
	caller, err := net.Dial("tcp", listener.Addr().String())
	So(err, ShouldBeNil)
	accepted, err = listener.Accept()
	So(err, ShouldBeNil)
	return caller, accepted
}

// TestPeakOfConnectionsThatCallersHold guards against a connection that is counted although its caller
// has closed it, and against one that is not counted although its caller holds it.
func TestPeakOfConnectionsThatCallersHold(t *testing.T) {
	ends := []struct {
		name string
		end  func(caller *net.TCPConn)
	}{
		{"closed", func(*net.TCPConn) {}},
		{"closed with unread input", func(caller *net.TCPConn) { _, _ = caller.Write([]byte("GET / HTTP/1.1\r\n")) }},
		{"reset", func(caller *net.TCPConn) { _ = caller.SetLinger(0) }},
	}
	Convey("With a listener that delays the first read", t, func() {
		base, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = base.Close() }()
		listener := delayedListener{Listener: base, delay: time.Millisecond}
		var counter connectionCounter
		first, accepted := acceptPair(listener)
		defer func() { _ = accepted.Close() }()
		counter.observe(accepted, http.StateNew)
		for _, test := range ends {
			Convey("a connection that was "+test.name+" before the next one was opened is not counted", func() {
				test.end(first.(*net.TCPConn))
				So(first.Close(), ShouldBeNil)
				So(lab.Eventually(time.Second, func() error {
					if !hasEnded(accepted) {
						return errors.New("the end of the connection has not arrived")
					}
					return nil
				}), ShouldBeNil)
				second, accepted := acceptPair(listener)
				defer func() { _, _ = second.Close(), accepted.Close() }()
				counter.observe(accepted, http.StateNew)
				open, peak := counter.counts()
				So(open, ShouldEqual, 2)
				So(peak, ShouldEqual, 1)
			})
		}
		Convey("a connection that this side has closed before the next one was opened is not counted", func() {
			So(accepted.Close(), ShouldBeNil)
			second, accepted := acceptPair(listener)
			defer func() { _, _ = second.Close(), accepted.Close() }()
			counter.observe(accepted, http.StateNew)
			_, peak := counter.counts()
			So(peak, ShouldEqual, 1)
		})
		Convey("a connection that is closed after the next one was accepted is counted", func() {
			second, accepted := acceptPair(listener)
			defer func() { _, _ = second.Close(), accepted.Close() }()
			counter.observe(accepted, http.StateNew)
			So(first.Close(), ShouldBeNil)
			_, peak := counter.counts()
			So(peak, ShouldEqual, 2)
			counter.observe(accepted, http.StateClosed)
			open, peak := counter.counts()
			So(open, ShouldEqual, 1)
			So(peak, ShouldEqual, 2)
		})
	})
}
