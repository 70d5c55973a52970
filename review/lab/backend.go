//go:build reviewlab

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// stamps numbers the signatures of all backends.
var stamps atomic.Int64

// backendRequest is one request at a backend.
type backendRequest struct {
	id, method, target, body string
}

// backendReply is a backend's answer. A nil reply means that the backend crashes.
type backendReply struct {
	status int
	stamp  string
	body   string
}

// backend plays one server of the pages: it runs up to slots requests at once, queues a few
// more, and answers 503 with X-Not-Executed when it is full.
type backend struct {
	lab               *lab
	id, service, zone string
	slots, queue      int
	// work runs a request. It returns nil if the request crashes the backend.
	work func(b *backend, r backendRequest) *backendReply
	// repeatLate reports whether an answer is to arrive a second time, at the point where the
	// next answer on its connection is expected.
	repeatLate func(r backendRequest, status int) bool
	// onRun is called when the backend begins to work on a request, before work.
	onRun func(b *backend, r backendRequest)

	address string
	born    int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	held     int
	slot     chan struct{}
}

// start listens, at the earlier address if there was one.
func (b *backend) start() error {
	address := b.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address, b.listener, b.conns = listener.Addr().String(), listener, map[net.Conn]bool{}
	b.born, b.held, b.slot = time.Now().UnixMilli(), 0, make(chan struct{}, b.slots)
	go b.accept(listener, b.slot)
	return nil
}

// crash closes the listener and resets all connections.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener == nil {
		return
	}
	_ = b.listener.Close()
	b.listener = nil
	for conn := range b.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// entry returns what the backend registers in the store.
func (b *backend) entry(state string) []byte {
	raw, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": state, "cold-remaining-ms": 0, "sequence": 1, "born": b.born,
	})
	return raw
}

func (b *backend) register(s *store, state string) { s.put("servers/"+b.id, b.entry(state)) }

func (b *backend) accept(listener net.Listener, slot chan struct{}) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		alive := b.listener == listener
		if alive {
			b.conns[conn] = true
		}
		b.mu.Unlock()
		if !alive {
			_ = conn.Close()
			return
		}
		go b.serve(conn, slot)
	}
}

// serve answers the requests of one connection, one at a time.
func (b *backend) serve(conn net.Conn, slot chan struct{}) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	late, lateFor := "", ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		request := backendRequest{id: r.Header.Get("X-Request-Id"), method: r.Method, target: r.RequestURI, body: string(body)}
		if late != "" {
			b.lab.note("%s sends its answer to %s a second time, before that to %s", b.id, lateFor, request.id)
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		status, answer := b.answer(r, request, slot)
		if answer == "" {
			return
		}
		if b.repeatLate != nil && r.URL.Path != "/health" && b.repeatLate(request, status) {
			late, lateFor = answer, request.id
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// answer runs one request and returns its status and its answer in wire format. The answer is
// empty if the backend has crashed.
func (b *backend) answer(r *http.Request, request backendRequest, slot chan struct{}) (int, string) {
	if r.URL.Path == "/health" {
		return 200, b.encode("", 200, "X-Instance-Id: "+b.id+"\r\n", "")
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != b.id {
		return 421, b.encode(request.id, 421, "X-Instance-Id: "+b.id+"\r\n", "")
	}
	arrived := time.Now()
	b.mu.Lock()
	full := b.held >= b.slots+b.queue
	if !full {
		b.held++
	}
	b.mu.Unlock()
	if full {
		return 503, b.encode(request.id, 503, "X-Not-Executed: 1\r\n", "")
	}
	defer func() {
		b.mu.Lock()
		b.held--
		b.mu.Unlock()
	}()
	slot <- struct{}{}
	defer func() { <-slot }()
	if limit, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil && time.Since(arrived) > time.Duration(limit)*time.Millisecond {
		return 503, b.encode(request.id, 503, "X-Not-Executed: 1\r\n", "")
	}
	if b.onRun != nil {
		b.onRun(b, request)
	}
	result := b.work(b, request)
	if result == nil {
		b.crash()
		return 0, ""
	}
	fields := ""
	if result.stamp != "" {
		fields = "X-Server-Stamp: " + result.stamp + "\r\n"
	}
	return result.status, b.encode(request.id, result.status, fields, result.body)
}

// encode returns an answer in wire format.
func (b *backend) encode(id string, status int, fields, body string) string {
	b.mu.Lock()
	running := min(b.held, b.slots)
	waiting := b.held - running
	b.mu.Unlock()
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&text, "X-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&text, "%sX-Server-Load: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s", fields, running, waiting, b.slots, len(body), body)
	return text.String()
}

// newStamp returns a signature that no other answer has.
func (b *backend) newStamp() string { return fmt.Sprintf("%s.%d", b.id, stamps.Add(1)) }
