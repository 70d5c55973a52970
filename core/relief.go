package core

import (
	"context"
	"sync"
)

// offloader decides when a lagging instance sends its requests to other instances.
// Forwarding a request takes a fraction of the time that asking all its shards takes.
type offloader struct {
	clock Clock
	lag   *LagMeter

	mu sync.Mutex
	// activeUntil is when offloading ends. holdMillis is how long it goes on after
	// the last time that the instance was found to lag.
	activeUntil Millis
	holdMillis  Millis
}

// shouldOffload reports whether requests are to be offloaded now, and starts or extends
// offloading if the instance lags. If it lags again within OffloadResetMillis after
// offloading ended, the hold time doubles, up to OffloadMaxMillis.
func (o *offloader) shouldOffload() bool {
	lagging := o.lag.Lag() >= OffloadLagMillis
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	active := now < o.activeUntil
	if !lagging {
		return active
	}
	if !active {
		if now-o.activeUntil < OffloadResetMillis && o.holdMillis > 0 {
			o.holdMillis = min(2*o.holdMillis, OffloadMaxMillis)
		} else {
			o.holdMillis = OffloadMinMillis
		}
	}
	o.activeUntil = now + o.holdMillis
	return true
}

// offload sends the request to another instance while this one lags. done is false if the
// request was not offloaded or certainly ran nowhere: this instance must then answer it.
func (g *activeRequest) offload(ctx context.Context) (answer RoutedAnswer, reroute, done bool) {
	r := g.router
	if g.delegated || !r.offloader.shouldOffload() {
		return RoutedAnswer{}, false, false
	}
	others := r.Delegation.OffloadTargets()
	if len(others) == 0 {
		return RoutedAnswer{}, false, false
	}
	r.Counters.Add(CountDelegated, 1)
	answer, reroute = g.delegate(ctx, others[:min(len(others), MaxOffloadTargets)])
	return answer, reroute, reroute || answer.Outcome != OutcomeNotRun
}
