package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"

	"acaciavane/core"
)

const (
	// settleMillis is how long a closed connection is left before another is
	// opened in its place, so that the upstream never counts both.
	settleMillis = 20 * core.Millis(1)
	// keepAliveMarginMillis is how long before the end of the idle time that an
	// upstream announces a connection is given up: a request and its way.
	keepAliveMarginMillis = 300 * core.Millis(1)
	// maxLanes bounds the connections to one upstream, whatever it allows.
	maxLanes = 1024
	// readBufferBytes holds a small reply with its head.
	readBufferBytes = 2048
)

// lane is one connection to an upstream. It carries one request at a time.
type lane struct {
	conn   net.Conn
	intake *intake
	reader *bufio.Reader
	// usedAt is when the last reply on it was whole.
	usedAt core.Millis
	// idleLimit is how long the upstream keeps the connection open without a
	// request, or zero where it does not say.
	idleLimit core.Millis
}

// noteKeepAlive takes in a Keep-Alive header of the form "timeout=SECONDS, max=N".
func (l *lane) noteKeepAlive(value string) {
	for _, parameter := range strings.Split(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(number, 10, 16); err == nil {
			l.idleLimit = core.Millis(seconds) * core.Second
		}
	}
}

// fresh reports whether the upstream is expected to keep the connection open
// long enough for one more request.
func (l *lane) fresh(now core.Millis) bool {
	if l.idleLimit == 0 {
		return true
	}
	return now-l.usedAt < max(l.idleLimit/2, l.idleLimit-keepAliveMarginMillis)
}

func (l *lane) close() {
	_ = l.conn.Close()
}

// lanes are all connections of the instance to one upstream.
type lanes struct {
	clock  core.Clock
	dialer *net.Dialer
	memory *replyMemory
	target core.Target
	// room holds a token for each connection that may yet be in use.
	room chan struct{}

	mu   sync.Mutex
	idle []*lane
	// limit is the most connections that may be in use, and excess is how many
	// are in use above it since it was lowered.
	limit  int
	excess int
	closed bool
}

func newLanes(clock core.Clock, dialer *net.Dialer, memory *replyMemory, target core.Target) *lanes {
	l := &lanes{clock: clock, dialer: dialer, memory: memory, target: target, room: make(chan struct{}, maxLanes)}
	l.resize(target.Lanes)
	return l
}

// resize sets how many connections may be in use.
func (l *lanes) resize(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit = min(max(1, limit), maxLanes)
	for ; l.limit < limit; l.limit++ {
		l.release()
	}
	for ; l.limit > limit; l.limit-- {
		select {
		case <-l.room:
		default:
			l.excess++
		}
	}
}

// release makes room for one connection. The caller holds the lock.
func (l *lanes) release() {
	if l.excess > 0 {
		l.excess--
		return
	}
	l.room <- struct{}{}
}

func (l *lanes) giveBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release()
}

// take waits until a connection may be used, and returns the idle one that was
// used last or a new one. Its errors are *core.AttemptError.
func (l *lanes) take(ctx context.Context) (*lane, error) {
	select {
	case <-l.room:
	case <-ctx.Done():
		return nil, &core.AttemptError{Kind: core.FailureNotSent, Detail: "no free connection", Cause: ctx.Err()}
	}
	if lane := l.takeIdle(); lane != nil {
		return lane, nil
	}
	lane, err := l.dial(ctx)
	if err != nil {
		l.giveBack()
		return nil, err
	}
	return lane, nil
}

// takeIdle returns an idle connection that can be expected to be sound.
func (l *lanes) takeIdle() *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for len(l.idle) > 0 {
		last := len(l.idle) - 1
		lane := l.idle[last]
		l.idle = l.idle[:last]
		if lane.fresh(now) && silent(lane.conn) {
			return lane
		}
		lane.close()
	}
	return nil
}

func (l *lanes) dial(ctx context.Context) (*lane, error) {
	conn, err := l.dialer.DialContext(ctx, "tcp", l.target.Address)
	if err != nil {
		return nil, &core.AttemptError{Kind: core.FailureNotSent, Detail: "connect", Cause: err}
	}
	intake := &intake{conn: conn, memory: l.memory}
	return &lane{conn: conn, intake: intake, reader: bufio.NewReaderSize(intake, readBufferBytes), usedAt: l.clock.Now()}, nil
}

// put gives back a lane whose connection may be used again.
func (l *lanes) put(lane *lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		lane.close()
	} else {
		l.idle = append(l.idle, lane)
	}
	l.release()
}

// discard closes the lane's connection and makes room for another after a pause.
func (l *lanes) discard(lane *lane) {
	lane.close()
	go func() {
		_ = l.clock.Sleep(context.Background(), settleMillis)
		l.giveBack()
	}()
}

// dropIdleSince closes the idle connections that were last used before the given
// time. An upstream that fell silent may have forgotten all of them.
func (l *lanes) dropIdleSince(before core.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.idle[:0]
	for _, lane := range l.idle {
		if lane.usedAt < before {
			lane.close()
			continue
		}
		kept = append(kept, lane)
	}
	l.idle = kept
}

// warm opens connections until the given number is open or in use.
func (l *lanes) warm(ctx context.Context, count int) {
	for range count - l.open() {
		select {
		case <-l.room:
		default:
			return
		}
		lane, err := l.dial(ctx)
		if err != nil {
			l.giveBack()
			return
		}
		l.put(lane)
	}
}

// open returns how many connections are idle or in use.
func (l *lanes) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.idle) + l.limit + l.excess - len(l.room)
}

// close closes all connections, those in use at the end of their request.
func (l *lanes) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, lane := range l.idle {
		lane.close()
	}
	l.idle = nil
}
