package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// readyTimeout is how long the instances may take until all are ready.
	readyTimeout = 10 * time.Second
	// starvedShare is the part of the share of all requests that are served below which a kind of
	// request is starved.
	starvedShare = 0.25
	// maxAttempts is how often a client sends a request.
	maxAttempts = 2
)

// requestKind is a kind of request, with its traffic in a small deployment. All requests of a kind
// are the same, as the pages show it.
type requestKind struct {
	name, target string
	perSecond    float64
	deadline     time.Duration
}

var kinds = []requestKind{
	{"price-lookup", "/ziti980/ti38/2f", 67.6, time.Second},
	{"promo-match", matchPrefix + "2f", 22.5, 500 * time.Millisecond},
	{"proof-fetch", "/timi402/2f", 22.5, 4 * time.Second},
}

// fetchKind is the index in kinds of the requests to a single backend.
const fetchKind = 2

// playTraffic starts all instances, sends the usual traffic for some time, calls disturb after the calm
// with the time at which the traffic began, and returns the exit code: whether a kind of request was starved.
func (d *deployment) playTraffic(length, calm time.Duration, record *recorder, disturb func(begin time.Time)) int {
	if !d.startAll(readyTimeout) {
		record.line("an instance was not ready in time")
		return exitNotRun
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.beat(stop)
	tally := &tally{asked: map[string]int{}, served: map[string]int{}}
	var group sync.WaitGroup
	begin := time.Now()
	for _, kind := range kinds {
		group.Go(func() { d.sendTraffic(kind, begin, length, record, tally) })
	}
	time.Sleep(calm)
	disturb(begin)
	group.Wait()
	record.runs(d.ledger)
	return tally.judge(record)
}

// sendTraffic sends the requests of one kind at random instances, each with one retry, until a time
// after begin.
func (d *deployment) sendTraffic(kind requestKind, begin time.Time, length time.Duration, record *recorder, tally *tally) {
	client := newClient()
	var group sync.WaitGroup
	for time.Since(begin) < length {
		time.Sleep(time.Duration(rand.ExpFloat64() / kind.perSecond * float64(time.Second)))
		group.Go(func() {
			until := time.Now().Add(kind.deadline)
			served := false
			for attempt := 0; attempt < maxAttempts && !served && time.Now().Before(until); attempt++ {
				i := d.instances[rand.IntN(len(d.instances))]
				a := ask(client, i.caller, kind.target, otherCaller, time.Until(until))
				record.answer(kind.name, i.name, a)
				served = a.status == http.StatusOK && a.err == nil
			}
			tally.add(kind.name, served)
		})
	}
	group.Wait()
}

// tally counts requests by kind.
type tally struct {
	mu            sync.Mutex
	asked, served map[string]int
}

func (t *tally) add(kind string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked[kind]++
	if served {
		t.served[kind]++
	}
}

// judge returns the exit code: whether a kind of request was served less than a quarter as often as all.
func (t *tally) judge(record *recorder) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	asked, served := 0, 0
	for kind := range t.asked {
		asked += t.asked[kind]
		served += t.served[kind]
	}
	if served == 0 {
		record.line("nothing was served")
		return exitNotRun
	}
	all := float64(served) / float64(asked)
	code := exitHeld
	for _, kind := range kinds {
		share := float64(t.served[kind.name]) / float64(t.asked[kind.name])
		summary := fmt.Sprintf("%s: %d of %d served (%.3f; all kinds: %.3f)", kind.name, t.served[kind.name], t.asked[kind.name], share, all)
		if share < starvedShare*all {
			summary += ": starved"
			code = exitBroken
		}
		record.line("%s", summary)
		fmt.Println(summary)
	}
	return code
}
