package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times and sizes of the case.
const (
	popularLength  = 100 * time.Second
	popularCalm    = 1500 * time.Millisecond
	popularTimeout = 10 * time.Second
	// crashPause is the time between two crashes, and downTime how long a crashed backend is down.
	crashPause = 500 * time.Millisecond
	downTime   = 4500 * time.Millisecond
	// In each wave, both backends of the shard downShard crash and one backend of each of waveSingles
	// other shards. wavePause is the time between the beginnings of two waves.
	waves        = 2
	wavePause    = 5 * time.Second
	downShard    = 3
	waveSingles  = 6
	backendsEach = 2
	// starvedShare is the part of the share of all requests that are served below which a kind of
	// request is starved.
	starvedShare = 0.25
)

// requestKind is a kind of request, with its traffic in a small deployment. All requests of a kind
// are the same, as the pages show it.
type requestKind struct {
	name, target string
	perSecond    float64
	deadline     time.Duration
}

var popularKinds = []requestKind{
	{"price-lookup", "/ziti980/ti38/2f", 67.6, time.Second},
	{"promo-match", matchPrefix + "2f", 22.5, 500 * time.Millisecond},
	{"proof-fetch", "/timi402/2f", 22.5, 4 * time.Second},
}

// popularCase crashes some backends in two waves, each time among them both of one shard. Each is back
// 4.5 s later. It checks that no kind of request is starved over the whole time.
func popularCase(d *deployment, trouble bool, record *recorder) int {
	if err := d.addSmallDeployment(); err != nil {
		record.line("%v", err)
		return exitNotRun
	}
	if !d.startAll(popularTimeout) {
		record.line("an instance was not ready in time")
		return exitNotRun
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.beat(stop)
	tally := &tally{asked: map[string]int{}, served: map[string]int{}}
	var group sync.WaitGroup
	begin := time.Now()
	for _, kind := range popularKinds {
		group.Go(func() { d.sendTraffic(kind, begin, record, tally) })
	}
	time.Sleep(popularCalm)
	if trouble {
		group.Go(func() { d.crashSome(record) })
	}
	group.Wait()
	record.runs(d.ledger)
	return tally.judge(record)
}

// crashSome crashes backends in two waves: both of one shard, and then one of each of some other shards.
func (d *deployment) crashSome(record *recorder) {
	var group sync.WaitGroup
	for wave := range waves {
		group.Go(func() {
			time.Sleep(time.Duration(wave) * wavePause)
			for n := range backendsEach {
				group.Go(func() { d.crashFor(downTime, d.backends[downShard*backendsEach+n], record) })
			}
			for n := range waveSingles {
				time.Sleep(crashPause)
				shard := downShard + 1 + wave*waveSingles + n
				group.Go(func() { d.crashFor(downTime, d.backends[shard*backendsEach], record) })
			}
		})
	}
	group.Wait()
}

// crashFor crashes a backend and starts it again after the time.
func (d *deployment) crashFor(length time.Duration, victim *backend, record *recorder) {
	record.line("backend %s of %s crashes", victim.id, victim.service)
	victim.crash()
	time.Sleep(length)
	if err := d.restart(victim); err != nil {
		record.line("backend of %s did not start again: %v", victim.service, err)
		return
	}
	record.line("backend %s of %s has started again", victim.id, victim.service)
}

// sendTraffic sends the requests of one kind at random instances, each with one retry.
func (d *deployment) sendTraffic(kind requestKind, begin time.Time, record *recorder, tally *tally) {
	client := newClient()
	var group sync.WaitGroup
	for time.Since(begin) < popularLength {
		time.Sleep(time.Duration(rand.ExpFloat64() / kind.perSecond * float64(time.Second)))
		group.Go(func() {
			until := time.Now().Add(kind.deadline)
			served := false
			for attempt := 0; attempt < 2 && !served && time.Now().Before(until); attempt++ {
				i := d.instances[rand.IntN(len(d.instances))]
				a := ask(client, i.caller, kind.target, time.Until(until))
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
	for _, kind := range popularKinds {
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
