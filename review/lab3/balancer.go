package main

import (
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// missesToLeave is how many readiness checks in a row a machine misses until it gets no new connections.
const missesToLeave = 2

// balancer is a stand-in for the platform's address: it asks each machine once a second whether it is ready, and
// selects the machine for each new connection.
type balancer struct {
	machines []*machine
	stop     chan struct{}

	mu sync.Mutex
	// misses counts the checks in a row without a 200.
	misses map[*machine]int
}

func newBalancer(machines []*machine) *balancer {
	b := &balancer{machines: machines, stop: make(chan struct{}), misses: map[*machine]int{}}
	for _, m := range machines {
		go b.check(m)
	}
	return b
}

func (b *balancer) check(m *machine) {
	for {
		ready := m.isReady()
		b.mu.Lock()
		b.misses[m]++
		if ready {
			b.misses[m] = 0
		}
		b.mu.Unlock()
		select {
		case <-b.stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// inRotation reports whether a machine gets new connections.
func (b *balancer) inRotation(m *machine) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses[m] < missesToLeave
}

// pick returns the machine for a new connection of a client in the zone.
func (b *balancer) pick(zone string) *machine {
	var local, localReady, ready []*machine
	for _, m := range b.machines {
		in := b.inRotation(m)
		if in {
			ready = append(ready, m)
		}
		if m.zone == zone {
			local = append(local, m)
			if in {
				localReady = append(localReady, m)
			}
		}
	}
	switch {
	case len(localReady) == 0 && len(ready) > 0:
		return ready[rand.IntN(len(ready))]
	case 2*len(localReady) < len(local) || len(localReady) == 0:
		return local[rand.IntN(len(local))]
	}
	return localReady[rand.IntN(len(localReady))]
}

// isReady asks the machine whether it is ready, and waits for a second at most.
func (m *machine) isReady() bool {
	conn, err := net.DialTimeout("tcp", m.ready, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, "GET /readiness HTTP/1.1\r\nHost: "+m.ready+"\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	raw, _ := io.ReadAll(conn)
	return strings.HasPrefix(string(raw), "HTTP/1.1 200")
}
