package peer

import (
	"errors"
	"net"
	"strings"
)

// prefaceStart is the first part of the HTTP/2 connection preface, with which each connection
// of a peer begins.
const prefaceStart = "PRI * HTTP/2.0"

var errNoPreface = errors.New("connection does not start with the HTTP/2 preface")

// prefaceListener closes connections that do not start with the HTTP/2 preface and passes their
// remote address to reject. The others are counted by intake.
type prefaceListener struct {
	net.Listener
	reject func(from net.Addr)
	intake *intake
}

// Accept implements net.Listener.
func (l prefaceListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.intake.accepted(&prefaceConn{Conn: connection, expected: prefaceStart, reject: l.reject}), nil
}

// prefaceConn compares the first bytes that are read from a connection with the preface.
// expected is the part of the preface that has not been read yet.
type prefaceConn struct {
	net.Conn
	expected string
	reject   func(from net.Addr)
}

// Read implements net.Conn.
func (c *prefaceConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if c.expected == "" {
		return count, err
	}
	compared := min(count, len(c.expected))
	if !strings.HasPrefix(c.expected, string(buffer[:compared])) {
		c.reject(c.RemoteAddr())
		_ = c.Close()
		return 0, errNoPreface
	}
	c.expected = c.expected[compared:]
	return count, err
}
