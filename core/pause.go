package core

import (
	"context"
	"sync"
)

// PauseGuard detects that the process was suspended, by a gap on its clock. It then
// delays new work until the instance's view of the fleet has been renewed.
type PauseGuard struct {
	clock    Clock
	renew    func(ctx context.Context)
	counters *Counters
	// onTick, if not nil, is called with the lateness of each tick.
	onTick func(Millis)

	// wake ends the delay before the next check in an idle process.
	wake chan struct{}

	mu       sync.Mutex
	lastTick Millis
	// renewal is closed when the renewal in progress ends. It is nil if there is none.
	renewal chan struct{}
	// lastWorkAt is when Await was last called.
	lastWorkAt Millis
	// idle is set while the clock is checked less often because there is no work.
	idle bool
}

// NewPauseGuard returns a guard that calls renew after each suspension to renew the
// instance's view of the fleet. Work is delayed until renew returns. The context of
// renew ends after RenewTimeoutMillis.
func NewPauseGuard(clock Clock, counters *Counters, renew func(ctx context.Context)) *PauseGuard {
	return &PauseGuard{clock: clock, renew: renew, counters: counters, lastTick: clock.Now(), wake: make(chan struct{}, 1)}
}

// OnTick registers a function that is called with the lateness of each tick. OnTick
// must be called before Run.
func (g *PauseGuard) OnTick(onTick func(Millis)) {
	g.onTick = onTick
}

// Run checks the clock until ctx ends, less often while there is no work.
func (g *PauseGuard) Run(ctx context.Context) error {
	for {
		g.tick(ctx, true)
		last, interval := g.clock.Now(), g.interval()
		select {
		case <-g.clock.After(interval):
			if g.onTick != nil {
				g.onTick(g.clock.Now() - last - interval)
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
	g.idle = g.clock.Now()-g.lastWorkAt > PauseIdleAfterMillis
	if g.idle {
		return PauseIdleTickMillis
	}
	return PauseTickMillis
}

// recordWork records that there is work and ends the idle state.
func (g *PauseGuard) recordWork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastWorkAt = g.clock.Now()
	if !g.idle {
		return
	}
	g.idle = false
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// tick compares the clock with the last reading and starts a renewal after a gap. It
// returns the channel of the renewal in progress, or nil. Only Run sets running; other
// calls update the last reading only after a gap.
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

// renewView runs one renewal and closes done when it ends.
func (g *PauseGuard) renewView(ctx context.Context, done chan struct{}) {
	limited, cancel := g.clock.WithDeadline(ctx, g.clock.Now()+RenewTimeoutMillis)
	defer cancel()
	g.renew(limited)
	g.mu.Lock()
	g.renewal = nil
	g.mu.Unlock()
	close(done)
}

// Await checks the clock and waits for the renewal in progress, if there is one, or until
// ctx ends. It is called before a request is handled or sent to an upstream.
func (g *PauseGuard) Await(ctx context.Context) error {
	renewal := g.tick(ctx, false)
	g.recordWork()
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
