package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"acaciavane/core"
)

const (
	// settleMillis is how long a closed connection is left before its lane opens
	// another, so that the upstream never counts both.
	settleMillis = 20 * core.Millis(1)
)

// lane is one connection to an upstream, opened again when it was closed.
type lane struct {
	transport *http.Transport
	open      atomic.Bool
}

func newLane(dialer *net.Dialer) *lane {
	return &lane{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}}
}

// close closes the connection once no request uses it.
func (l *lane) close() {
	l.open.Store(false)
	l.transport.CloseIdleConnections()
}

// lanes are all connections of the instance to one upstream.
type lanes struct {
	clock core.Clock
	free  chan *lane

	mu     sync.Mutex
	closed bool
}

func newLanes(clock core.Clock, dialer *net.Dialer, count int) *lanes {
	l := &lanes{clock: clock, free: make(chan *lane, count)}
	for range count {
		l.free <- newLane(dialer)
	}
	return l
}

// take waits for a lane that no request uses.
func (l *lanes) take(ctx context.Context) (*lane, error) {
	select {
	case lane := <-l.free:
		return lane, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// takeFree returns all lanes that no request uses.
func (l *lanes) takeFree() []*lane {
	var free []*lane
	for {
		select {
		case lane := <-l.free:
			free = append(free, lane)
		default:
			return free
		}
	}
}

// put gives back a lane whose connection may be used again.
func (l *lanes) put(lane *lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		lane.close()
		return
	}
	l.free <- lane
}

// replace closes the lane's connection and gives the lane back after a pause.
func (l *lanes) replace(lane *lane) {
	lane.close()
	go func() {
		_ = l.clock.Sleep(context.Background(), settleMillis)
		l.put(lane)
	}()
}

// close closes all connections, those in use at the end of their request.
func (l *lanes) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for _, lane := range l.takeFree() {
		lane.close()
	}
}
