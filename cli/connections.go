package cli

import (
	"net"
	"net/http"
	"sync"

	"acaciavane/io/caller"
)

// connTracker records which connections of callers have a request that is being read or answered.
type connTracker struct {
	mu     sync.Mutex
	active map[net.Conn]struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{active: map[net.Conn]struct{}{}}
}

// observe is the ConnState hook of the callers' server. A connection leaves the active state only
// after its answer was written.
func (t *connTracker) observe(conn net.Conn, state http.ConnState) {
	caller.Observe(conn, state)
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateActive {
		t.active[conn] = struct{}{}
		return
	}
	delete(t.active, conn)
}

// activeCount returns the number of connections on which a request is being read or answered.
func (t *connTracker) activeCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.active)
}
