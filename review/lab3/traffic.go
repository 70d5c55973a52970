package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// traffic sends requests to a deployment and counts what became of them.
type traffic struct {
	lab                  *lab
	sequence             atomic.Int64
	served, failed, none atomic.Int64
}

func (t *traffic) nextID() string { return fmt.Sprintf("%016x", t.sequence.Add(1)) }

// run sends requests from a zone until stop is closed, each on a new connection.
func (t *traffic) run(zone string, perSecond float64, stop <-chan struct{}) {
	// Six, two and two of ten requests.
	kinds := []kind{priceLookup, priceLookup, priceLookup, promoMatch, proofFetch}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		go t.send(t.lab.balancer.pick(zone), kinds[rand.IntN(len(kinds))])
	}
}

// send sends one request, and waits for its answer until the deadline of the client.
func (t *traffic) send(m *machine, requested kind) {
	kept, err := connect(m)
	if err != nil {
		t.none.Add(1)
		return
	}
	got, _ := kept.ask(t.nextID(), requested, requested.deadline)
	kept.close()
	t.count(got)
}

// answers reports whether the machine gives any answer to a request.
func (t *traffic) answers(m *machine) bool {
	kept, err := connect(m)
	if err != nil {
		return false
	}
	defer kept.close()
	got, _ := kept.ask(t.nextID(), priceLookup, priceLookup.deadline)
	return got.err == nil
}

func (t *traffic) count(got answer) {
	switch {
	case got.err != nil:
		t.none.Add(1)
	case got.status == 200:
		t.served.Add(1)
	default:
		t.failed.Add(1)
	}
}

// summary describes what became of the requests so far.
func (t *traffic) summary() string {
	return fmt.Sprintf("%d served, %d failed, %d without an answer", t.served.Load(), t.failed.Load(), t.none.Load())
}

// spare is a connection that a client has used once and keeps open.
type spare struct {
	mu     sync.Mutex
	kept   *keptConn
	usedAt time.Time
}

const (
	// renewAfter is how long a spare connection is idle until it is opened again.
	renewAfter = 30 * time.Second
	// reuseWithin is how long clients reuse an idle connection: four fifths of idle-timeout-ms.
	reuseWithin = 48 * time.Second
)

// keep keeps the spare connection to a machine open until stop is closed. It opens a new one when the last one was idle
// for long or was closed, if the machine gets new connections.
func (t *traffic) keep(s *spare, m *machine, stop <-chan struct{}) {
	for {
		s.mu.Lock()
		if (s.kept == nil || time.Since(s.usedAt) > renewAfter) && t.lab.balancer.inRotation(m) {
			t.renew(s, m)
		}
		s.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// renew opens the spare connection again, and uses it once.
func (t *traffic) renew(s *spare, m *machine) {
	if s.kept != nil {
		s.kept.close()
		s.kept = nil
	}
	kept, err := connect(m)
	if err != nil {
		return
	}
	got, reusable := kept.ask(t.nextID(), priceLookup, priceLookup.deadline)
	t.count(got)
	if !reusable {
		kept.close()
		return
	}
	s.kept, s.usedAt = kept, time.Now()
}
