package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times of the case.
const (
	crasherLength = 80 * time.Second
	crasherCalm   = 2 * time.Second
	// crasherPause is how long after its answer the crashing request comes again.
	crasherPause = 2 * time.Second
	// crasherDown is how long a backend that it has crashed is down.
	crasherDown = 2 * time.Second
	// touchTime is touch-ms. Later than that after its crashesAllowed-th crash, the crashing request may
	// reach backends in maxLateRetries retries.
	touchTime      = 4 * time.Second
	crashesAllowed = 3
	maxLateRetries = 3
	// headerCaller tells the backends which caller sent a request.
	headerCaller   = "X-Caller"
	crashingCaller = "clerk-7"
	otherCaller    = "clerk-1"
)

// crasher records the runs of the crashing request.
type crasher struct {
	mu      sync.Mutex
	crashes []time.Time
	// reached is when each attempt of its caller first reached a backend.
	reached map[string]time.Time
}

// add records a run.
func (c *crasher) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.crashes = append(c.crashes, now)
	if _, known := c.reached[id]; !known {
		c.reached[id] = now
	}
}

// judge returns the exit code: whether the request reached backends in too many retries.
func (c *crasher) judge(record *recorder) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	if len(c.crashes) >= crashesAllowed {
		for _, at := range c.reached {
			if at.Sub(c.crashes[crashesAllowed-1]) > touchTime {
				late++
			}
		}
	}
	summary := fmt.Sprintf("%d crashes; %d retries later than touch-ms after the third", len(c.crashes), late)
	record.line("%s", summary)
	fmt.Println(summary)
	if late > maxLateRetries {
		return exitBroken
	}
	return exitHeld
}

// crasherCase sends a request of one caller that crashes each backend that begins to run it, again and
// again, beside requests of other callers, some of which have the same path. It checks in how many
// retries it reaches backends after the third crash, and that no kind of request of the others is starved.
func crasherCase(d *deployment, trouble bool, record *recorder) int {
	if err := d.addSmallDeployment(); err != nil {
		record.line("%v", err)
		return exitNotRun
	}
	c := &crasher{reached: map[string]time.Time{}}
	for _, b := range d.backends {
		b.crashes = func(r *http.Request) bool { return r.Header.Get(headerCaller) == crashingCaller }
		b.crashed = func(id string) {
			c.add(id)
			record.line("backend %s begins to run %s and crashes", b.id, id)
			time.Sleep(crasherDown)
			if err := d.restart(b); err != nil {
				record.line("backend of %s did not start again: %v", b.service, err)
			}
		}
	}
	code := d.playTraffic(crasherLength, crasherCalm, record, func(begin time.Time) {
		kind, client := kinds[fetchKind], newClient()
		for trouble && time.Since(begin) < crasherLength {
			i := d.instances[rand.IntN(len(d.instances))]
			record.answer("crashing request", i.name, ask(client, i.caller, kind.target, crashingCaller, kind.deadline))
			time.Sleep(crasherPause)
		}
	})
	return max(code, c.judge(record))
}
