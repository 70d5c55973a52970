package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

// TestConnectionsOfRepeatedRequests guards against more open connections than the target allows
// when a request is sent again and must not use the connections that have carried it.
func TestConnectionsOfRepeatedRequests(t *testing.T) {
	server := newUpstreamServer(nil)
	defer server.Close()
	ctx := context.Background()
	for _, limit := range []int{1, 2, 3} {
		Convey("With "+string(rune('0'+limit))+" connections", t, func() {
			pool := newConnPool(core.NewClock(), &net.Dialer{}, &replyBudget{}, server.target(limit))
			defer pool.close()
			used := map[*pooledConn]bool{}
			for range 3 * limit {
				pooled, err := pool.acquire(ctx, "id")
				So(err, ShouldBeNil)
				So(used[pooled], ShouldBeFalse)
				So(pool.open(), ShouldBeLessThanOrEqualTo, limit)
				used[pooled] = true
				pooled.recordRequest(Request{ID: "id"})
				So(pooled.remembersAll(), ShouldBeTrue)
				pool.put(pooled)
			}
			pooled, err := pool.acquire(ctx, "other")
			So(err, ShouldBeNil)
			So(used[pooled], ShouldBeTrue)
			pool.put(pooled)
		})
	}
	Convey("The wait for a connection that replaces another ends with the request", t, func() {
		pool := newConnPool(core.NewClock(), &net.Dialer{}, &replyBudget{}, server.target(1))
		defer pool.close()
		pooled, err := pool.acquire(ctx, "id")
		So(err, ShouldBeNil)
		pooled.recordRequest(Request{ID: "id"})
		pool.put(pooled)
		ended, cancel := context.WithCancel(ctx)
		cancel()
		_, err = pool.acquire(ended, "id")
		So(err, ShouldNotBeNil)
		So(len(pool.tokens), ShouldEqual, 1)
	})
}

// TestPreconnectWhileRequestsConnect guards against more open connections than the target allows when a
// request opens a connection while a probe opens the missing ones.
func TestPreconnectWhileRequestsConnect(t *testing.T) {
	Convey("A connection that a request opens meanwhile is not opened again", t, func() {
		server := newUpstreamServer(nil)
		defer server.Close()
		const limit = 2
		ctx := context.Background()
		dialer := &net.Dialer{}
		pool := newConnPool(core.NewClock(), dialer, &replyBudget{}, server.target(limit))
		defer pool.close()
		dials := 0
		dialer.Control = func(string, string, syscall.RawConn) error {
			if dials++; dials > 1 {
				return nil
			}
			pooled, err := pool.acquire(ctx, "")
			if err == nil {
				pool.put(pooled)
			}
			return err
		}
		pool.preconnect(ctx, limit)
		So(dials, ShouldEqual, limit)
		So(pool.open(), ShouldEqual, limit)
	})
}
