package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// kind is a kind of request.
type kind struct {
	path string
	// timeout is the route's timeout-ms, and deadline how long clients wait.
	timeout, deadline time.Duration
}

// The kinds of requests of the deployment.
var (
	priceLookup = kind{path: "/price/2f", timeout: 450 * time.Millisecond, deadline: time.Second}
	promoMatch  = kind{path: "/promo/2f", timeout: 450 * time.Millisecond, deadline: 500 * time.Millisecond}
	proofFetch  = kind{path: "/proof/2f", timeout: 2 * time.Second, deadline: 4 * time.Second}
)

// answer is what a client got for one request.
type answer struct {
	status int
	took   time.Duration
	err    error
}

// keptConn is a connection that a client keeps open for several requests.
type keptConn struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

// connect opens a connection to a machine, as the platform does for a client.
func connect(m *machine) (*keptConn, error) {
	conn, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConn{machine: m, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// ask sends a request and waits for its answer for so long. The second result is whether the connection may be
// used again.
func (k *keptConn) ask(id string, requested kind, wait time.Duration) (answer, bool) {
	started := time.Now()
	_ = k.conn.SetDeadline(started.Add(wait))
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n",
		requested.path, host, id, requested.deadline.Milliseconds())
	if _, err := io.WriteString(k.conn, head); err != nil {
		return answer{err: err, took: time.Since(started)}, false
	}
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return answer{err: err, took: time.Since(started)}, false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return answer{status: response.StatusCode, err: err, took: time.Since(started)}, err == nil && !response.Close
}

func (k *keptConn) close() { _ = k.conn.Close() }
