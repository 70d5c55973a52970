package peer

import (
	"errors"
	"net"
	"strings"
)

// prefaceStart is how each connection of the peers' protocol begins.
const prefaceStart = "PRI * HTTP/2.0"

var errNotAPeer = errors.New("connection does not speak the peers' protocol")

// prefaceListener reports and ends connections that begin with anything else.
type prefaceListener struct {
	net.Listener
	reject func(from net.Addr)
}

// Accept implements net.Listener.
func (l prefaceListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &prefaceConn{Conn: connection, rest: prefaceStart, reject: l.reject}, nil
}

// prefaceConn compares what is read first with the preface.
type prefaceConn struct {
	net.Conn
	rest   string
	reject func(from net.Addr)
}

// Read implements net.Conn.
func (c *prefaceConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if c.rest == "" {
		return count, err
	}
	seen := min(count, len(c.rest))
	if !strings.HasPrefix(c.rest, string(buffer[:seen])) {
		c.reject(c.RemoteAddr())
		_ = c.Close()
		return 0, errNotAPeer
	}
	c.rest = c.rest[seen:]
	return count, err
}
