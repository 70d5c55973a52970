package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// server is a stand-in for a backend. It runs requests in a number of slots, queues a few more and rejects the
// others as not run.
type server struct {
	id, service, zone, address string
	slots, queue, respBytes    int
	born                       int64

	free                     chan struct{}
	held, running, signature atomic.Int64
}

func (s *server) start(ip string) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	s.address, s.born, s.free = listener.Addr().String(), time.Now().UnixMilli(), make(chan struct{}, s.slots)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

// entry returns what the backend writes to the store.
func (s *server) entry(sequence int64) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1", "slots": s.slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": sequence, "born": s.born,
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		status, fields, body := s.handle(r)
		if id := r.Header.Get("X-Request-Id"); id != "" {
			fields += "X-Request-Id: " + id + "\r\n"
		}
		fields += fmt.Sprintf("X-Server-Load: %d,%d,%d\r\n", s.running.Load(), max(0, s.held.Load()-s.running.Load()), s.slots)
		head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
		if _, err := conn.Write(append([]byte(head), body...)); err != nil {
			return
		}
	}
}

const notRun = "X-Not-Executed: 1\r\n"

// handle returns the answer to a request: its status, header fields and body.
func (s *server) handle(r *http.Request) (int, string, []byte) {
	id, expected := r.Header.Get("X-Request-Id"), r.Header.Get("X-Expected-Instance")
	switch {
	case id == "" && r.URL.Path == "/health":
		return http.StatusOK, "X-Instance-Id: " + s.id + "\r\n", nil
	case id == "":
		return http.StatusBadRequest, notRun, nil
	case expected != "" && expected != s.id:
		return http.StatusMisdirectedRequest, notRun + "X-Instance-Id: " + s.id + "\r\n", nil
	}
	defer s.held.Add(-1)
	if s.held.Add(1) > int64(s.slots+s.queue) {
		return http.StatusServiceUnavailable, notRun, nil
	}
	wait, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		wait = int(10 * time.Second / time.Millisecond)
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	select {
	case s.free <- struct{}{}:
	case <-deadline:
		return http.StatusServiceUnavailable, notRun, nil
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		<-s.free
	}()
	select {
	case <-time.After(workOf(r.URL.Path)):
	case <-deadline:
		return http.StatusGatewayTimeout, "", nil
	}
	return http.StatusOK, fmt.Sprintf("X-Server-Stamp: %s.%x.%08x\r\n", s.id, s.signature.Add(1), rand.Uint32()), randomBytes(s.respBytes)
}

// workOf returns how long a request takes.
func workOf(path string) time.Duration {
	switch {
	case strings.HasPrefix(path, "/price/"):
		return 11 * time.Millisecond
	case strings.HasPrefix(path, "/promo/"):
		return 4 * time.Millisecond
	}
	return 90 * time.Millisecond
}

func randomBytes(count int) []byte {
	body := make([]byte, 0, count+8)
	for len(body) < count {
		body = binary.BigEndian.AppendUint64(body, rand.Uint64())
	}
	return body[:count]
}
