package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"acaciavane/core"
	"acaciavane/io/caller"
	"acaciavane/standin/lab"
)

const (
	callTimeout = 4 * time.Second
	// balancerInterval is the interval and the timeout of the readiness checks.
	balancerInterval = 100 * time.Millisecond
	// fetchShare is the fraction of the requests that are fetches, which have the low
	// priority.
	fetchShare = 0.1
)

// sample is the result of one request. latency counts from the time at which the
// request was due.
type sample struct {
	fetch   bool
	latency time.Duration
	answer  caller.AnswerBody
	err     error
}

// generateLoad sends requests as an open-loop Poisson process with a fixed mean
// rate, whether or not earlier requests were answered. Latency counts from the time
// at which a request was due, so that a delay in sending is included.
func (b *bench) generateLoad(s scenario, window time.Duration) result {
	lb := startBalancer(b.cluster)
	defer lb.shutdown()
	rng := rand.New(rand.NewPCG(b.seed(), uint64(len(s.name))))
	rate := b.capacity() * s.load
	var mu sync.Mutex
	var samples []sample
	var pending sync.WaitGroup
	started := time.Now()
	for due := started; due.Sub(started) < s.warmup+window; {
		due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		number := rng.IntN(1 << 30)
		fetch := rng.Float64() < fetchShare
		client := lb.pick(number)
		pending.Add(1)
		go func() {
			defer pending.Done()
			measured := b.send(client, due, number, fetch)
			if due.Sub(started) < s.warmup {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, measured)
		}()
	}
	pending.Wait()
	return b.summarize(s, window, rate, samples)
}

// send sends one search or fetch and returns its sample. The records of the answer
// are dropped.
func (b *bench) send(client *caller.Client, due time.Time, number int, fetch bool) sample {
	request := caller.RequestBody{
		Collection: b.searchGroup.Collection,
		Kind:       b.searchGroup.Kinds[0].Name,
		Body:       fmt.Sprint("query ", number),
	}
	if fetch {
		request.Collection = b.fetchGroup.Collection
		request.Kind = b.fetchGroup.Kinds[0].Name
		request.Key = fmt.Sprintf("item-%05d", number%400)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := client.Query(ctx, request)
	answer.Records = nil
	return sample{fetch: fetch, latency: time.Since(due), answer: answer, err: err}
}

// balancer distributes requests over the instances that passed the last readiness
// check.
type balancer struct {
	clients []*caller.Client
	ready   atomic.Pointer[[]*caller.Client]
	stop    chan struct{}
	done    chan struct{}
}

func startBalancer(cluster *lab.Cluster) *balancer {
	b := &balancer{stop: make(chan struct{}), done: make(chan struct{})}
	for _, entry := range cluster.Entries {
		b.clients = append(b.clients, entry.Client())
	}
	b.ready.Store(&b.clients)
	go func() {
		defer close(b.done)
		check := &http.Client{Timeout: balancerInterval}
		for {
			select {
			case <-time.After(balancerInterval):
			case <-b.stop:
				return
			}
			b.check(check, cluster)
		}
	}()
	return b
}

// check updates the ready clients. If no instance is ready, it keeps the earlier
// ones.
func (b *balancer) check(client *http.Client, cluster *lab.Cluster) {
	ready := make([]bool, len(cluster.Entries))
	var checks sync.WaitGroup
	for i, entry := range cluster.Entries {
		checks.Add(1)
		go func() {
			defer checks.Done()
			response, err := client.Get("http://" + entry.OperatorAddress + "/readyz")
			if err != nil {
				return
			}
			_ = response.Body.Close()
			ready[i] = response.StatusCode == http.StatusOK
		}()
	}
	checks.Wait()
	var usable []*caller.Client
	for i, client := range b.clients {
		if ready[i] {
			usable = append(usable, client)
		}
	}
	if len(usable) > 0 {
		b.ready.Store(&usable)
	}
}

func (b *balancer) pick(number int) *caller.Client {
	ready := *b.ready.Load()
	return ready[number%len(ready)]
}

func (b *balancer) shutdown() {
	close(b.stop)
	<-b.done
	for _, client := range b.clients {
		client.Close()
	}
}

// result holds the measurements of one scenario in one run.
type result struct {
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"scenario"`
	Variant    string  `json:"variant"`
	Seed       uint64  `json:"seed"`
	Rate       float64 `json:"ratePerSecond"`
	Requests   int     `json:"requests"`
	// P50, P99 and P999 are latency percentiles of the answered searches, in
	// milliseconds.
	P50  float64 `json:"p50Millis"`
	P99  float64 `json:"p99Millis"`
	P999 float64 `json:"p999Millis"`
	// Coverage is the mean coverage of the answered searches, from 0 to 1.
	Coverage float64 `json:"coverage"`
	// CompleteRatio is the fraction of the searches that were answered with full
	// coverage.
	CompleteRatio float64 `json:"wholeShare"`
	// Goodput is the rate of searches with full coverage, as a fraction of the
	// capacity.
	Goodput float64 `json:"goodput"`
	// ExtraLoad is the number of attempts beyond one for each shard, as a fraction of
	// the number of shards.
	ExtraLoad float64 `json:"extraLoad"`
	// FetchP99 is in milliseconds.
	FetchP99     float64 `json:"fetchP99Millis"`
	NotRun       int     `json:"refusedNotRun"`
	FetchNotRun  int     `json:"fetchRefusedNotRun"`
	Unknown      int     `json:"unknown"`
	NoAnswer     int     `json:"noAnswer"`
	Insufficient int     `json:"insufficient"`
}

// summarize computes the result of a scenario from its samples. rate is in requests
// per second.
func (b *bench) summarize(s scenario, window time.Duration, rate float64, samples []sample) result {
	r := result{
		Deployment: b.deployment.Name, Scenario: s.name, Variant: b.variant.name,
		Seed: b.seed(), Rate: rate, Requests: len(samples),
	}
	var searches, fetches []float64
	attempts, shards, complete, total := 0, 0, 0, 0
	for _, measured := range samples {
		millis := float64(measured.latency.Microseconds()) / 1000
		answered := measured.err == nil && measured.answer.Outcome == string(core.OutcomeAnswered)
		if measured.fetch {
			if answered {
				fetches = append(fetches, millis)
			} else if measured.answer.Outcome == string(core.OutcomeNotRun) {
				r.FetchNotRun++
			}
			continue
		}
		total++
		attempts += measured.answer.Attempts
		switch {
		case answered:
			searches = append(searches, millis)
			shards += measured.answer.Shards
			r.Coverage += measured.answer.Coverage.Fraction
			if measured.answer.Coverage.Covered == measured.answer.Coverage.Total {
				complete++
			}
			if !measured.answer.Sufficient {
				r.Insufficient++
			}
		case measured.err != nil:
			r.NoAnswer++
		case measured.answer.Outcome == string(core.OutcomeNotRun):
			r.NotRun++
		default:
			r.Unknown++
		}
	}
	r.Coverage /= float64(max(1, len(searches)))
	r.CompleteRatio = float64(complete) / float64(max(1, total))
	r.Goodput = float64(complete) / window.Seconds() / b.capacity()
	r.ExtraLoad = float64(attempts)/float64(max(1, shards)) - 1
	r.P50, r.P99, r.P999 = quantile(searches, 0.5), quantile(searches, 0.99), quantile(searches, 0.999)
	r.FetchP99 = quantile(fetches, 0.99)
	return r
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}
