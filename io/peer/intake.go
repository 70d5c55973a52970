package peer

import (
	"errors"
	"net"
	"sync"

	"acaciavane/core"
)

const (
	// maxHeldBytes bounds the memory of the messages that are being received, over all connections in
	// one direction: four of the largest.
	maxHeldBytes = 4 * MaxMessageBytes
	// maxStreams is how many calls a peer may have in progress on its connection: two for each
	// request that it may handle at once.
	maxStreams = 2 * core.MaxInFlight
	// openStreamBytes is what a call takes until it has arrived completely: its header.
	openStreamBytes = core.MaxReplyHeadBytes
	// unchargedReplyBytes is how much of a reply is not counted. Reports on groups are several
	// messages, which are used one by one, and rarely larger in total.
	unchargedReplyBytes = 32 << 10
)

// errIntakeExceeded means that a connection was closed because it held most when maxHeldBytes were
// exceeded.
var errIntakeExceeded = errors.New("the peer's incomplete messages take too much memory")

// intake counts the bytes that connections hold for messages that are being received. When they
// exceed maxHeldBytes, it closes the connection that holds most.
type intake struct {
	// onClose is called with the connection that is closed and with the bytes that it held.
	onClose func(conn net.Conn, held int64)

	mu          sync.Mutex
	used        int64
	connections map[*intakeConn]struct{}
}

func newIntake(onClose func(conn net.Conn, held int64)) *intake {
	return &intake{onClose: onClose, connections: map[*intakeConn]struct{}{}}
}

// intakeConn is a connection whose streams are counted by an intake.
type intakeConn struct {
	net.Conn
	intake *intake
	// accepts is set for the connections of a server: their streams are opened by the other end.
	accepts           bool
	incoming, sending frameScanner

	// The fields below are guarded by the lock of the intake.

	// streams holds the bytes that were received on each open stream.
	streams map[uint32]int64
	held    int64
	// closed is set once the connection is no longer counted, and exceeded if the intake closed it.
	closed, exceeded bool
}

// accepted counts a connection that a server has accepted, and dialled one that a client has opened.
func (n *intake) accepted(conn net.Conn) net.Conn {
	return n.add(&intakeConn{Conn: conn, accepts: true, incoming: frameScanner{skip: prefaceBytes}})
}

func (n *intake) dialled(conn net.Conn) net.Conn {
	return n.add(&intakeConn{Conn: conn, sending: frameScanner{skip: prefaceBytes}})
}

func (n *intake) add(conn *intakeConn) net.Conn {
	conn.intake, conn.streams = n, map[uint32]int64{}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[conn] = struct{}{}
	return conn
}

// Read implements net.Conn.
func (c *intakeConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.incoming.scan(buffer[:count], c.received)
	if c.intake.hasExceeded(c) {
		return 0, errIntakeExceeded
	}
	return count, err
}

// Write implements net.Conn.
func (c *intakeConn) Write(data []byte) (int, error) {
	c.sending.scan(data, c.sent)
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *intakeConn) Close() error {
	c.intake.remove(c)
	return c.Conn.Close()
}

// received counts a frame that the other end has sent.
func (c *intakeConn) received(frame frameHeader) {
	switch {
	case frame.endsStream():
		c.end(frame.stream)
	case frame.kind == frameHeaders && c.accepts:
		c.open(frame.stream)
	case frame.kind == frameData:
		c.charge(frame.stream, int64(frame.length))
	}
}

// sent follows a frame that is sent to the other end. A server's end of a stream ends the call; a
// client's is the end of the request.
func (c *intakeConn) sent(frame frameHeader) {
	switch {
	case frame.kind == frameRSTStream || c.accepts && frame.endsStream():
		c.end(frame.stream)
	case frame.kind == frameHeaders && !c.accepts:
		c.open(frame.stream)
	}
}

// cost returns what a stream takes on which so many bytes were received.
func (c *intakeConn) cost(bytes int64) int64 {
	if c.accepts {
		return openStreamBytes + bytes
	}
	return max(0, bytes-unchargedReplyBytes)
}

func (c *intakeConn) open(stream uint32) {
	n := c.intake
	n.mu.Lock()
	if _, known := c.streams[stream]; known || c.closed {
		n.mu.Unlock()
		return
	}
	c.streams[stream] = 0
	n.holdLocked(c, c.cost(0))
	n.mu.Unlock()
	n.enforce()
}

// charge counts bytes of a stream. Those of streams that have ended are dropped.
func (c *intakeConn) charge(stream uint32, bytes int64) {
	n := c.intake
	n.mu.Lock()
	before, known := c.streams[stream]
	if !known {
		n.mu.Unlock()
		return
	}
	c.streams[stream] = before + bytes
	n.holdLocked(c, c.cost(before+bytes)-c.cost(before))
	n.mu.Unlock()
	n.enforce()
}

func (c *intakeConn) end(stream uint32) {
	n := c.intake
	n.mu.Lock()
	defer n.mu.Unlock()
	if bytes, known := c.streams[stream]; known {
		n.holdLocked(c, -c.cost(bytes))
		delete(c.streams, stream)
	}
}

// holdLocked changes what a connection holds.
func (n *intake) holdLocked(c *intakeConn, bytes int64) {
	c.held += bytes
	n.used += bytes
}

// enforce closes the connections that hold most until the others hold at most maxHeldBytes.
func (n *intake) enforce() {
	for {
		largest, held := n.takeExcess()
		if largest == nil {
			return
		}
		n.onClose(largest.Conn, held)
		_ = largest.Conn.Close()
	}
}

// takeExcess removes and returns the connection that holds most, with what it held, if all hold more
// than maxHeldBytes together.
func (n *intake) takeExcess() (*intakeConn, int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.used <= maxHeldBytes {
		return nil, 0
	}
	var largest *intakeConn
	for conn := range n.connections {
		if largest == nil || conn.held > largest.held {
			largest = conn
		}
	}
	held := largest.held
	largest.exceeded = true
	n.removeLocked(largest)
	return largest, held
}

func (n *intake) remove(c *intakeConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.removeLocked(c)
}

func (n *intake) removeLocked(c *intakeConn) {
	c.closed = true
	n.holdLocked(c, -c.held)
	clear(c.streams)
	delete(n.connections, c)
}

func (n *intake) hasExceeded(c *intakeConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return c.exceeded
}

// held returns the bytes that all connections hold.
func (n *intake) held() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.used
}
