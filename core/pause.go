package core

import (
	"context"
	"sync"
	"time"
)

// PauseGuard notices that the process was suspended, by a gap on its clock, and
// holds back new work until the instance's view has been renewed.
type PauseGuard struct {
	clock    Clock
	renew    func(ctx context.Context)
	counters *Counters
	// late is told how late each tick was, unless it is nil.
	late func(Millis)

	mu       sync.Mutex
	lastTick Millis
	renewal  chan struct{}
}

// NewPauseGuard returns a guard that calls renew after each suspension. Work is
// held back until renew returns, for RenewTimeoutMillis at the most.
func NewPauseGuard(clock Clock, counters *Counters, renew func(ctx context.Context)) *PauseGuard {
	return &PauseGuard{clock: clock, renew: renew, counters: counters, lastTick: clock.Now()}
}

// OnTick registers a function that is told how late each tick was. It must be
// called before Run.
func (g *PauseGuard) OnTick(late func(Millis)) {
	g.late = late
}

// Run checks the clock until ctx ends.
func (g *PauseGuard) Run(ctx context.Context) error {
	ticker := time.NewTicker(PauseTickMillis.Duration())
	defer ticker.Stop()
	last := g.clock.Now()
	for {
		g.tick(ctx, true)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := g.clock.Now()
		if g.late != nil {
			g.late(now - last - PauseTickMillis)
		}
		last = now
	}
}

// tick compares the clock with the last reading and starts a renewal after a gap.
func (g *PauseGuard) tick(ctx context.Context, running bool) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clock.Resync()
	now := g.clock.Now()
	gap := now - g.lastTick
	if running || gap > PauseThresholdMillis {
		g.lastTick = now
	}
	if gap > PauseThresholdMillis && g.renewal == nil {
		g.counters.Add(CountPauses, 1)
		g.renewal = make(chan struct{})
		go g.renewView(context.WithoutCancel(ctx), g.renewal)
	}
	return g.renewal
}

func (g *PauseGuard) renewView(ctx context.Context, done chan struct{}) {
	limited, cancel := g.clock.WithDeadline(ctx, g.clock.Now()+RenewTimeoutMillis)
	defer cancel()
	g.renew(limited)
	g.mu.Lock()
	g.renewal = nil
	g.mu.Unlock()
	close(done)
}

// Await returns once the view is current. It is called at the moment of sending.
func (g *PauseGuard) Await(ctx context.Context) error {
	renewal := g.tick(ctx, false)
	if renewal == nil {
		return nil
	}
	select {
	case <-renewal:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
