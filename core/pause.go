package core

import (
	"context"
	"sync"
)

// PauseGuard notices that the process was suspended, by a gap on its clock, and
// holds back new work until the instance's view has been renewed.
type PauseGuard struct {
	clock    Clock
	renew    func(ctx context.Context)
	counters *Counters
	// late is told how late each tick was, unless it is nil.
	late func(Millis)

	// wake ends the pause between two checks of an idle process.
	wake chan struct{}

	mu       sync.Mutex
	lastTick Millis
	renewal  chan struct{}
	// workedAt is when there was last work, and idle is set while the clock is checked
	// less often for want of it.
	workedAt Millis
	idle     bool
}

// NewPauseGuard returns a guard that calls renew after each suspension. Work is
// held back until renew returns, for RenewTimeoutMillis at the most.
func NewPauseGuard(clock Clock, counters *Counters, renew func(ctx context.Context)) *PauseGuard {
	return &PauseGuard{clock: clock, renew: renew, counters: counters, lastTick: clock.Now(), wake: make(chan struct{}, 1)}
}

// OnTick registers a function that is told how late each tick was. It must be
// called before Run.
func (g *PauseGuard) OnTick(late func(Millis)) {
	g.late = late
}

// Run checks the clock until ctx ends, less often while there is no work.
func (g *PauseGuard) Run(ctx context.Context) error {
	for {
		g.tick(ctx, true)
		last, interval := g.clock.Now(), g.interval()
		select {
		case <-g.clock.After(interval):
			if g.late != nil {
				g.late(g.clock.Now() - last - interval)
			}
		case <-g.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// interval returns the time until the next check.
func (g *PauseGuard) interval() Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = g.clock.Now()-g.workedAt > PauseIdleAfterMillis
	if g.idle {
		return PauseIdleTickMillis
	}
	return PauseTickMillis
}

// work takes in that there is work.
func (g *PauseGuard) work() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workedAt = g.clock.Now()
	if !g.idle {
		return
	}
	g.idle = false
	select {
	case g.wake <- struct{}{}:
	default:
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
	g.work()
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
