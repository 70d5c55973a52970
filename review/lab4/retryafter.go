package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// pauseSeconds is the Retry-After of the upstream, and pauseTolerance the time from its answer on from
	// which requests count. No more than pauseAllowed may arrive.
	pauseSeconds   = 80
	pauseTolerance = 500 * time.Millisecond
	pauseAllowed   = 2
)

// runRetryAfter has an upstream turn a request away with a Retry-After of more than a minute.
func runRetryAfter(o options) (verdict, error) {
	d, err := newDeployment(o)
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	d.machines = []*machine{{name: "front-erie-1", zone: "erie", share: 0.4}}
	const host = "desk.example"
	d.store.put("op/config", configuration(7, host, "prepress-desk", "idempotent", 2, 1000, 400, 96))
	var inNeed atomic.Bool
	var refusedAt atomic.Int64
	needy := &backend{id: "i-7f3a91c2", service: "prepress-desk", zone: "erie", slots: 6, queue: 24, work: 20 * time.Millisecond}
	needy.refuse = func() (string, bool) {
		if !inNeed.CompareAndSwap(true, false) {
			return "", false
		}
		refusedAt.Store(time.Now().UnixNano())
		return fmt.Sprint(pauseSeconds), true
	}
	sound := &backend{id: "i-20c4ee17", service: "prepress-desk", zone: "toledo", slots: 6, queue: 24, work: 20 * time.Millisecond}
	for _, b := range []*backend{needy, sound} {
		if err := d.addBackend(b); err != nil {
			return verdict{}, err
		}
	}
	if err := d.startMachines(false); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	c := &clients{d: d, host: host, path: "/desk/1", timeout: time.Second}
	stop := make(chan struct{})
	c.wait.Add(1)
	go c.load(d.machines[0], func() float64 { return 40 }, stop)
	time.Sleep(5 * time.Second)
	d.record.note("%s turns the next request away with Retry-After: %d: %v", needy.id, pauseSeconds, o.trouble)
	inNeed.Store(o.trouble)
	time.Sleep((pauseSeconds + 5) * time.Second)
	close(stop)
	c.wait.Wait()
	d.record.note("answers by status: %v", c.counts())
	if !o.trouble {
		if c.counts()[http.StatusOK] == 0 {
			return verdict{}, fmt.Errorf("no request was answered")
		}
		return verdict{text: "held: BUDGET: no request was turned away"}, nil
	}
	return judgePause(needy, refusedAt.Load())
}

// judgePause counts the requests that reached an upstream during its pause.
func judgePause(b *backend, refusedAt int64) (verdict, error) {
	if refusedAt == 0 {
		return verdict{}, fmt.Errorf("%s turned no request away", b.id)
	}
	from := time.Unix(0, refusedAt)
	count, first := 0, time.Duration(0)
	for _, a := range b.seen() {
		after := a.at.Sub(from)
		if after <= pauseTolerance || after >= pauseSeconds*time.Second {
			continue
		}
		if count == 0 || after < first {
			first = after
		}
		count++
	}
	text := fmt.Sprintf("BUDGET: %d requests reached %s between half a second after its 503 with Retry-After: %d and the end of that time, the first %.1f s after it; %d are allowed",
		count, b.id, pauseSeconds, first.Seconds(), pauseAllowed)
	if count > pauseAllowed {
		return verdict{broken: true, text: "broken: " + text}, nil
	}
	return verdict{text: "held: " + text}, nil
}
