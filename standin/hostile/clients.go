// Package hostile contains clients that don't keep to the limits published for callers. Tests
// use it to check that such clients neither end an instance nor exceed its memory.
package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Target is the instance that the clients connect to, with the request that they send.
type Target struct {
	Address string
	// Path is the path of the requests, and AnswerPath one whose answers are large.
	Path       string
	AnswerPath string
	// BodyBytes is the largest body that the instance accepts.
	BodyBytes int
}

// Crowd is a number of clients of the same kind, each with one connection.
type Crowd struct {
	Name        string
	Connections int
	// Pause is the time between the starts of two clients.
	Pause time.Duration
	// Behave sends what these clients send. The connection stays open after it returns.
	Behave func(c *Client)
}

// Client is one client of a crowd.
type Client struct {
	Target
	// completes is set for the few clients that send their body to its end.
	completes bool
	conn      net.Conn
	stop      chan struct{}
}

const (
	// writeTimeout ends the writes of a client whose data is no longer read.
	writeTimeout = time.Second
	// answerTimeout is how long a client waits for the beginning of an answer.
	answerTimeout = 2 * time.Second
	// endless is the amount of data after which a client stops that would otherwise send without
	// end. It is a multiple of every limit that applies to this data.
	endless = 256 << 10
	// pieceBytes is the size of the pieces in which some clients send a body.
	pieceBytes = 4 << 10
	// largeChunk is the size of the chunks of the clients that send large chunks.
	largeChunk = 64 << 10
	// pipelined is how many requests a client sends without reading an answer.
	pipelined = 300
	// slowReadInterval is how long slow readers wait between two bytes.
	slowReadInterval = 50 * time.Millisecond
	// completeEvery is how many clients there are for each one that sends its body to its end.
	completeEvery = 10
	// slowReaderPause is long enough for an instance to read one large answer from its upstream.
	// Instances limit the memory for answers that they read at the same time.
	slowReaderPause = 20 * time.Millisecond
)

// filler is the content of all bodies.
var filler = bytes.Repeat([]byte("x"), 1<<20)

// Heads returns the crowds that send request heads over the limit or without end.
func Heads(connections int) []Crowd {
	return []Crowd{
		{"heads of small fields without end", connections, 0, func(c *Client) {
			c.send([]byte(c.requestLine()))
			c.sendLines(func(n int) string { return fmt.Sprintf("%x:\r\n", n) })
		}},
		{"heads with one line without end", connections, 0, func(c *Client) {
			c.send([]byte(c.requestLine() + "X-Line: "))
			c.repeat(filler[:pieceBytes], endless)
		}},
		{"empty lines without end", connections, 0, func(c *Client) {
			c.repeat(bytes.Repeat([]byte("\r\n"), pieceBytes/2), endless)
		}},
	}
}

// Bodies returns the crowds that send bodies, most of which stop just short of their end.
func Bodies(connections int) []Crowd {
	return []Crowd{
		{"whole bodies", connections, 0, func(c *Client) {
			c.send([]byte(c.head(fmt.Sprintf("Content-Length: %d\r\n", c.BodyBytes))))
			c.sendEnd(filler[:c.BodyBytes], "")
		}},
		{"bodies in pieces", connections, 0, func(c *Client) {
			c.send([]byte(c.head(fmt.Sprintf("Content-Length: %d\r\n", c.BodyBytes))))
			c.repeat(filler[:pieceBytes], c.BodyBytes-pieceBytes)
			c.sendEnd(filler[:pieceBytes], "")
		}},
		{"large chunks", connections, 0, func(c *Client) {
			c.send([]byte(c.chunkedHead()))
			chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", largeChunk, filler[:largeChunk])
			c.repeat(chunk, (c.BodyBytes/largeChunk)*len(chunk))
			c.sendEnd(nil, "0\r\n\r\n")
		}},
		{"chunks of one byte", connections / 2, 0, func(c *Client) {
			c.send([]byte(c.chunkedHead()))
			chunk := []byte("1\r\nx\r\n")
			c.repeat(bytes.Repeat(chunk, pieceBytes), c.BodyBytes*len(chunk))
			c.sendEnd(nil, "0\r\n\r\n")
		}},
	}
}

// Framing returns the crowds that send chunk framing without end.
func Framing(connections int) []Crowd {
	return []Crowd{
		{"chunk extensions without end", connections, 0, func(c *Client) {
			c.send([]byte(c.chunkedHead()))
			c.repeat([]byte("1;"+strings.Repeat("e", 1000)+"\r\nx\r\n"), endless)
		}},
		{"trailers without end", connections, 0, func(c *Client) {
			c.send([]byte(c.chunkedHead() + "1\r\nx\r\n0\r\n"))
			c.sendLines(func(n int) string { return fmt.Sprintf("%x:\r\n", n) })
		}},
	}
}

// SlowReaders returns the crowd that requests large answers and hardly reads them.
func SlowReaders(connections int) Crowd {
	return Crowd{"slow readers", connections, slowReaderPause, func(c *Client) {
		_ = c.conn.(*net.TCPConn).SetReadBuffer(pieceBytes)
		c.Path = c.AnswerPath
		c.send([]byte(c.head("Content-Length: 0\r\n")))
		c.awaitAnswer()
		go c.readSlowly()
	}}
}

// Idle returns the crowd that opens connections and sends nothing.
func Idle(connections int) Crowd {
	return Crowd{"idle connections", connections, 0, func(*Client) {}}
}

// Pipelined returns the crowd that sends many requests and reads no answers.
func Pipelined(connections int) Crowd {
	return Crowd{"pipelined requests", connections, 0, func(c *Client) {
		_ = c.conn.(*net.TCPConn).SetReadBuffer(pieceBytes)
		for range pipelined {
			if !c.send([]byte(c.head(fmt.Sprintf("Content-Length: %d\r\n", pieceBytes)))) || !c.send(filler[:pieceBytes]) {
				return
			}
		}
		c.awaitAnswer()
	}}
}

func (c *Client) requestLine() string {
	return "POST " + c.Path + " HTTP/1.1\r\nHost: h.example\r\n"
}

// head returns a complete request head with the additional fields.
func (c *Client) head(fields string) string {
	return c.requestLine() + "X-Request-Id: " + c.conn.LocalAddr().String() + "\r\n" + fields + "\r\n"
}

func (c *Client) chunkedHead() string { return c.head("Transfer-Encoding: chunked\r\n") }

// send sends data and reports whether all of it was written.
func (c *Client) send(data []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(data)
	return err == nil
}

// sendEnd sends the last piece of a body and its end. Most clients stop one byte short of the
// piece, or before the end.
func (c *Client) sendEnd(piece []byte, end string) {
	if c.completes {
		c.send(append(bytes.Clone(piece), end...))
		return
	}
	c.send(piece[:max(0, len(piece)-1)])
}

// repeat sends the data again and again, total bytes at most.
func (c *Client) repeat(data []byte, total int) {
	for sent := 0; sent+len(data) <= total; sent += len(data) {
		if !c.send(data) {
			return
		}
	}
}

// sendLines sends numbered lines until they are endless bytes.
func (c *Client) sendLines(line func(n int) string) {
	var lines []byte
	for n, sent := 0, 0; sent < endless; n++ {
		lines = append(lines, line(n)...)
		if len(lines) >= pieceBytes {
			if !c.send(lines) {
				return
			}
			sent += len(lines)
			lines = lines[:0]
		}
	}
}

// awaitAnswer waits for the first byte of an answer.
func (c *Client) awaitAnswer() {
	_ = c.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	_, _ = io.ReadFull(c.conn, make([]byte, 1))
	_ = c.conn.SetReadDeadline(time.Time{})
}

// readSlowly reads one byte after the other until the client stops.
func (c *Client) readSlowly() {
	for {
		if _, err := io.ReadFull(c.conn, make([]byte, 1)); err != nil {
			return
		}
		select {
		case <-time.After(slowReadInterval):
		case <-c.stop:
			return
		}
	}
}

// Connections are the open connections of a crowd.
type Connections struct {
	stop  chan struct{}
	mu    sync.Mutex
	conns []net.Conn
}

// Run connects all clients of the crowd and returns when each has sent what it sends. The
// connections stay open until Close.
func (c Crowd) Run(target Target) *Connections {
	open := &Connections{stop: make(chan struct{})}
	var group sync.WaitGroup
	for n := range c.Connections {
		time.Sleep(c.Pause)
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", target.Address, writeTimeout)
			if err != nil {
				return
			}
			open.mu.Lock()
			open.conns = append(open.conns, conn)
			open.mu.Unlock()
			c.Behave(&Client{Target: target, completes: n%completeEvery == 0, conn: conn, stop: open.stop})
		})
	}
	group.Wait()
	return open
}

// Close closes all connections.
func (o *Connections) Close() {
	close(o.stop)
	for _, conn := range o.conns {
		_ = conn.Close()
	}
}
