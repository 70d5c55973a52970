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

// wanted reports whether requests are to be offloaded now, and starts or extends
// offloading if the instance lags. If it lags again within ReliefCalmMillis after
// offloading ended, the hold time doubles, up to ReliefMaxMillis.
func (o *offloader) wanted() bool {
	lagging := o.lag.Lag() >= ReliefLagMillis
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	active := now < o.activeUntil
	if !lagging {
		return active
	}
	if !active {
		if now-o.activeUntil < ReliefCalmMillis && o.holdMillis > 0 {
			o.holdMillis = min(2*o.holdMillis, ReliefMaxMillis)
		} else {
			o.holdMillis = ReliefMinMillis
		}
	}
	o.activeUntil = now + o.holdMillis
	return true
}

// offload sends the request to another instance while this one lags. done is false if the
// request was not offloaded or certainly ran nowhere: this instance must then answer it.
func (g *routing) offload(ctx context.Context) (answer RoutedAnswer, reroute, done bool) {
	r := g.router
	if g.delegated || !r.relief.wanted() {
		return RoutedAnswer{}, false, false
	}
	others := r.Choice.Relievers()
	if len(others) == 0 {
		return RoutedAnswer{}, false, false
	}
	r.Counters.Add(CountDelegated, 1)
	answer, reroute = g.delegate(ctx, others[:min(len(others), MaxRelievers)])
	return answer, reroute, reroute || answer.Outcome != OutcomeNotRun
}
