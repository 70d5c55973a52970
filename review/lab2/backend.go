package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath = "/health"
	// matchPrefix is the path prefix of the requests that take matchWork in place of the usual work.
	matchPrefix = "/bapu561/"
	matchWork   = 3800 * time.Microsecond
	// queueLength is how many requests a backend queues beyond its slots.
	queueLength = 12
	// workSpread is the standard deviation of the logarithm of the time that requests take. One request
	// of a shard in tailOneIn takes tailFactor times as long.
	workSpread = 0.35
	tailOneIn  = 100
	tailFactor = 5
	// The backends of shards pause for pauseLength in every pauseEvery.
	pauseEvery  = 3 * time.Second
	pauseLength = 120 * time.Millisecond
	// partBytes is the size of a reply.
	partBytes = 192
)

// speeds are the factors by which backends differ.
var speeds = []float64{0.8, 1, 1.3}

// ran is a request that a backend began to run.
type ran struct {
	at time.Time
	id string
}

// ledger records what the backends run.
type ledger struct {
	mu   sync.Mutex
	runs []ran
}

func (l *ledger) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, ran{at: time.Now(), id: id})
}

func (l *ledger) all() []ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ran(nil), l.runs...)
}

// backend is one backend of a service.
type backend struct {
	service, zone string
	slots         int
	// work is the mean time that a request takes at a backend of speed 1.
	work        time.Duration
	speed       float64
	pauseOffset time.Duration
	ledger      *ledger
	// id and born are those of the current incarnation. They change only while the backend is down.
	id               string
	born             int64
	listener         net.Listener
	server           *http.Server
	down             atomic.Bool
	executing, queue atomic.Int64
	permits          chan struct{}
	// crashes, if set, reports whether a request crashes the backend when it begins to run it. crashed
	// is then called once the backend is down.
	crashes func(r *http.Request) bool
	crashed func(id string)
}

func newBackend(id, service, zone string, slots int, work time.Duration, l *ledger) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, slots: slots, work: work, ledger: l, listener: listener,
		born: time.Now().UnixMilli(), permits: make(chan struct{}, slots),
		speed: speeds[mathrand.IntN(len(speeds))], pauseOffset: time.Duration(mathrand.Int64N(int64(pauseEvery)))}
	b.serve()
	return b, nil
}

func (b *backend) address() string { return b.listener.Addr().String() }

func (b *backend) running() bool { return !b.down.Load() }

func (b *backend) serve() {
	server, listener := &http.Server{Handler: b}, b.listener
	b.server = server
	go func() { _ = server.Serve(listener) }()
}

// crash closes the port and all connections of the backend.
func (b *backend) crash() {
	b.down.Store(true)
	_ = b.server.Close()
}

// startAgain starts a new incarnation of a crashed backend at its address.
func (b *backend) startAgain() error {
	listener, err := net.Listen("tcp", b.address())
	if err != nil {
		return err
	}
	b.listener, b.id, b.born = listener, b.id+"n", time.Now().UnixMilli()
	b.serve()
	b.down.Store(false)
	return nil
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header["Date"], header["Content-Type"] = nil, nil
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", b.executing.Load(), b.queue.Load(), b.slots))
	if r.URL.Path == healthPath {
		header.Set("X-Instance-Id", b.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !b.acquire(r) {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.ledger.add(id)
	if b.crashes != nil && b.crashes(r) {
		b.executing.Add(-1)
		<-b.permits
		if b.down.CompareAndSwap(false, true) {
			_ = b.server.Close()
			go b.crashed(id)
		}
		return
	}
	select {
	case <-time.After(b.pause() + b.workFor(r.URL.Path)):
	case <-r.Context().Done():
	}
	b.executing.Add(-1)
	<-b.permits
	header.Set("X-Server-Stamp", newStamp())
	header.Set("Content-Length", fmt.Sprint(partBytes))
	records := make([]byte, partBytes)
	_, _ = rand.Read(records)
	_, _ = w.Write(records)
}

// acquire waits for a slot. It returns false if the queue is full or the request was cancelled.
func (b *backend) acquire(r *http.Request) bool {
	if b.queue.Add(1) > queueLength {
		b.queue.Add(-1)
		return false
	}
	defer b.queue.Add(-1)
	select {
	case b.permits <- struct{}{}:
		b.executing.Add(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

// pause returns for how long the backend still pauses.
func (b *backend) pause() time.Duration {
	if b.slots != 2 {
		return 0
	}
	return max(0, pauseLength-(time.Duration(time.Now().UnixNano())+b.pauseOffset)%pauseEvery)
}

// workFor returns how long a request takes.
func (b *backend) workFor(path string) time.Duration {
	mean := b.work
	if strings.HasPrefix(path, matchPrefix) {
		mean = matchWork
	}
	factor := math.Exp(mathrand.NormFloat64()*workSpread - workSpread*workSpread/2)
	if b.slots == 2 && mathrand.IntN(tailOneIn) == 0 {
		factor *= tailFactor
	}
	return time.Duration(float64(mean) * factor * b.speed)
}

// newStamp returns a new signature.
func newStamp() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw)
	text := hex.EncodeToString(raw)
	return text[:4] + "." + text[4:6] + "." + text[6:9] + "." + text[9:12] + ".0." + text[12:20]
}
