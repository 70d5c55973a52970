//go:build reviewlab

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["poison"] = runPoison }

const (
	poisonTime = 60 * time.Second
	// poisonBack is how long a backend that crashed stays away. It comes back with a new id.
	poisonBack = 5 * time.Second
	// entryExpires is three heartbeat intervals, after which the entry of a backend that has
	// crashed is removed.
	entryExpires = 3600 * time.Millisecond
	// poisonEvery is the time after which the crashing request comes again at a machine.
	poisonEvery = 500 * time.Millisecond
	poisonBody  = "the order that crashes"
	touch       = 4 * time.Second
)

// runPoison sends orders to a service with a backend in each of two zones. The disruption: one
// order crashes each backend that begins to run it, and comes again with the same path, caller
// and body. Its query holds the number of the attempt.
func runPoison(l *lab) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	started := 0
	var startBackend func(zone string) error
	startBackend = func(zone string) error {
		mu.Lock()
		started++
		id := fmt.Sprintf("i-r%d", started)
		mu.Unlock()
		b := &backend{lab: l, id: id, service: "route-board", zone: zone, slots: 6, queue: 24}
		b.work = func(b *backend, r backendRequest) *backendReply {
			if r.body != poisonBody {
				time.Sleep(30 * time.Millisecond)
				return &backendReply{status: 200, stamp: b.newStamp(), body: "done"}
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			l.note("%s runs %s and crashes, crash %d", b.id, r.id, len(crashes))
			mu.Unlock()
			time.AfterFunc(entryExpires, func() { s.put("servers/"+b.id, nil) })
			time.AfterFunc(poisonBack, func() {
				if err := startBackend(zone); err != nil {
					l.note("no backend in %s: %v", zone, err)
				}
			})
			return nil
		}
		if err := b.start(); err != nil {
			return err
		}
		b.register(s, "ready")
		l.note("%s started in %s", id, zone)
		return nil
	}
	for _, zone := range []string{"saginaw", "toledo"} {
		if err := startBackend(zone); err != nil {
			return false, err
		}
	}
	configuration, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "orders", "host": host, "path-prefix": "/timi402/", "kind": "non_idempotent", "timeout-ms": 4000,
			"target-latency-ms": 400, "priority": 2, "service": "route-board", "max-attempts": 2,
		}},
		"services": []any{map[string]any{"name": "route-board", "health-path": "/health", "max-connections": 96}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		return false, err
	}
	s.put("op/config", configuration)
	instances, err := l.startInstances([]string{"saginaw", "toledo"}, func(int) string { return s.address() })
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	statuses := map[string]map[int]int{"others": {}, "crashing": {}}
	var workers sync.WaitGroup
	until := time.Now().Add(poisonTime)
	play := func(kind, query, body string, i *instance, delay, every time.Duration) {
		workers.Go(func() {
			client := newClient()
			time.Sleep(delay)
			for n := 1; time.Now().Before(until); n++ {
				path := "/timi402/2f"
				if query != "" {
					path += fmt.Sprintf("?%s=%d", query, n)
				}
				r := send(client, i.caller, http.MethodPost, path, body, 4*time.Second)
				l.note("client of %s: %s (%s) answered %d", i.name, r.id, kind, r.status)
				mu.Lock()
				statuses[kind][r.status]++
				mu.Unlock()
				time.Sleep(every)
			}
		})
	}
	for n, i := range instances {
		for k := range 4 {
			play("others", "", fmt.Sprintf("order %d of %s", k, i.name), i, 0, 20*time.Millisecond)
		}
		if l.trouble {
			play("crashing", "attempt", poisonBody, i, 3*time.Second+time.Duration(n)*poisonEvery/2, poisonEvery)
		}
	}
	workers.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range crashes[3:] {
			if at.Sub(crashes[2]) > touch {
				late++
			}
		}
	}
	l.summary("other orders by status: %v; the crashing order: %v", statuses["others"], statuses["crashing"])
	l.summary("BUDGET: %d runs of the crashing order, %d of them later than touch-ms after the third crash (3 are allowed)", len(crashes), late)
	return late > 3, nil
}
