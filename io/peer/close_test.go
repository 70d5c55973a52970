package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

// closeTimeout is how long the calls of these tests may take before they count as deadlocked.
const closeTimeout = 5 * time.Second

// awaitLock returns once another goroutine holds the lock of the client, or after a time in which it
// would have taken it.
func (c *Client) awaitLock() {
	for range 300 {
		if !c.mu.TryLock() {
			return
		}
		c.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// TestCloseWhileRequestIsConfirmed guards against a deadlock of the client: gRPC waits for the reader of
// a connection while it closes it, and the reader needs the lock of the client when a request is confirmed.
func TestCloseWhileRequestIsConfirmed(t *testing.T) {
	closers := map[string]func(f *fixture){
		"of one connection":  func(f *fixture) { f.client.CloseConnection(f.address) },
		"of all connections": func(f *fixture) { f.client.Close() },
	}
	for name, closeConnection := range closers {
		Convey("Connections can be closed while a request is confirmed, the close "+name, t, func() {
			f := newFixture()
			f.handler.delegatedAnswer = core.DelegatedAnswer{Answer: core.RoutedAnswer{Outcome: core.OutcomeNotRun}}
			ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
			defer cancel()
			reading, closed := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(closed)
				<-reading
				closeConnection(f)
			}()
			// The reader waits for the closing goroutine, and then needs the lock.
			var confirms atomic.Bool
			confirmed := make(chan struct{})
			go func() {
				_, _ = f.client.Delegate(ctx, f.address, core.DelegatedRequest{
					Request:   core.RoutedRequest{ID: "id", Message: core.Message{Method: "GET", Host: "h", Target: "/"}},
					Remaining: core.Second,
				}, func() {
					close(reading)
					f.client.awaitLock()
					confirms.Store(f.client.Confirms(f.address))
					close(confirmed)
				})
			}()
			for what, done := range map[string]<-chan struct{}{"the close": closed, "the confirmation": confirmed} {
				select {
				case <-done:
				case <-time.After(closeTimeout):
					So(what+" has not returned", ShouldBeEmpty)
				}
			}
			So(confirms.Load(), ShouldBeTrue)
			f.close()
		})
	}
}
