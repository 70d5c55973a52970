package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often an upstream writes its entry.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached an upstream.
type arrival struct {
	at     time.Time
	id     string
	status int
}

// backend is an upstream as the users' pages describe it.
type backend struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	// limit is the value of Server-Limit, if it is not empty.
	limit string
	// refuse, if not nil, may turn a request away: it returns the value of Retry-After.
	refuse func() (retryAfter string, refused bool)
	record *record

	address  string
	born     int64
	sequence atomic.Int64
	running  chan struct{}
	held     atomic.Int64
	runs     atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
}

// start listens, registers the upstream in the store and keeps its entry fresh.
func (b *backend) start(store *storeStandin) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address = listener.Addr().String()
	b.born = time.Now().UnixMilli()
	b.running = make(chan struct{}, b.slots)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		b.describe(w)
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/", b.serve)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	b.register(store)
	go func() {
		for range time.Tick(heartbeat) {
			b.register(store)
		}
	}()
	return nil
}

func (b *backend) register(store *storeStandin) {
	store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "1", "slots": b.slots,
		"state": "ready", "cold-remaining-ms": 0, "sequence": b.sequence.Add(1), "born": b.born,
	})
}

// describe sets the header fields of all answers.
func (b *backend) describe(w http.ResponseWriter) {
	held, running := b.held.Load(), int64(len(b.running))
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", running, max(0, held-running), b.slots))
	if b.limit != "" {
		w.Header().Set("Server-Limit", b.limit)
	}
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	at := time.Now()
	status := b.answer(w, r, id)
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{at: at, id: id, status: status})
	b.mu.Unlock()
	b.record.note("upstream %s: request %s arrived %d ms before, status %d", b.id, id, time.Since(at).Milliseconds(), status)
}

// answer answers one request and returns the status, or 0 if its sender has closed the connection.
func (b *backend) answer(w http.ResponseWriter, r *http.Request, id string) int {
	header := w.Header()
	header.Set("X-Request-Id", id)
	notRun := func(status int) int {
		header.Set("X-Not-Executed", "1")
		b.describe(w)
		w.WriteHeader(status)
		return status
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != b.id {
		return notRun(http.StatusMisdirectedRequest)
	}
	if b.refuse != nil {
		if retryAfter, refused := b.refuse(); refused {
			header.Set("Retry-After", retryAfter)
			return notRun(http.StatusServiceUnavailable)
		}
	}
	if b.held.Add(1) > int64(b.slots+b.queue) {
		b.held.Add(-1)
		return notRun(http.StatusServiceUnavailable)
	}
	defer b.held.Add(-1)
	select {
	case b.running <- struct{}{}:
	case <-r.Context().Done():
		return 0
	}
	defer func() { <-b.running }()
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return 0
	}
	b.describe(w)
	header.Set("X-Server-Stamp", fmt.Sprintf("%s.%08x", b.id, b.runs.Add(1)))
	w.WriteHeader(http.StatusOK)
	_, _ = fmt.Fprintf(w, "answer to %s by %s", id, b.id)
	return http.StatusOK
}

// seen returns the requests that reached the upstream, in the order of their answers.
func (b *backend) seen() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}
