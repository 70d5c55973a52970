package core

import (
	"context"
	"sync"
)

// relief decides when an instance that is behind with its work has others answer its
// requests: passing one on takes a fraction of the time that all its shards take.
type relief struct {
	clock Clock
	lag   *LagMeter

	mu sync.Mutex
	// until is how long others are asked, and hold how long at least from now on.
	until Millis
	hold  Millis
}

// wanted reports whether others are to answer now. An instance that is behind again soon
// after it has taken up its work stays relieved for twice as long.
func (l *relief) wanted() bool {
	behind := l.lag.Lag() >= ReliefLagMillis
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	relieved := now < l.until
	if !behind {
		return relieved
	}
	if !relieved {
		if now-l.until < ReliefCalmMillis && l.hold > 0 {
			l.hold = min(2*l.hold, ReliefMaxMillis)
		} else {
			l.hold = ReliefMinMillis
		}
	}
	l.until = now + l.hold
	return true
}

// relieve has another instance that keeps up answer the request. It returns false where
// none does, or did.
func (g *routing) relieve(ctx context.Context) (answer RoutedAnswer, renewed, done bool) {
	r := g.router
	if g.delegated || !r.relief.wanted() {
		return RoutedAnswer{}, false, false
	}
	others := r.Choice.Relievers()
	if len(others) == 0 {
		return RoutedAnswer{}, false, false
	}
	r.Counters.Add(CountDelegated, 1)
	answer, renewed = g.delegate(ctx, others[:min(len(others), MaxRelievers)])
	return answer, renewed, renewed || answer.Outcome != OutcomeNotRun
}
