package main

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionCounter keeps the highest number of connections that callers held open at once. It does
// not count a connection that its caller has closed and whose end this process has not read yet:
// beside load the process may read it long after the caller has opened another connection.
type connectionCounter struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
	peak int
}

// observe records a change of the state of a connection. It is a http.Server.ConnState.
func (c *connectionCounter) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		if c.open == nil {
			c.open = map[net.Conn]struct{}{}
		}
		c.open[conn] = struct{}{}
		if len(c.open) > c.peak {
			c.peak = max(c.peak, c.heldLocked())
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// counts returns how many connections this process has open, and the highest number that callers
// held open at once.
func (c *connectionCounter) counts() (open, peak int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.peak
}

// heldLocked returns how many connections have not ended. The caller holds the lock.
func (c *connectionCounter) heldLocked() int {
	held := 0
	for conn := range c.open {
		if !hasEnded(conn) {
			held++
		}
	}
	return held
}

// hasEnded reports whether the end of a connection, or a reset, has arrived, or this process has closed
// it: http.StateClosed follows a little later. Input that arrived before the end may still be unread.
// It returns false if the state is unknown.
func hasEnded(conn net.Conn) bool {
	if delayed, ok := conn.(*delayedConn); ok {
		conn = delayed.Conn
	}
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
	})
	return closed || errors.Is(err, net.ErrClosed)
}
