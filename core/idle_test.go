package core

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// bubbleClock is the clock of a synctest bubble.
func bubbleClock() Clock {
	return NewClockFrom(func() Millis { return Millis(time.Now().UnixMilli()) })
}

// TestAnIdleProcessChecksItsClockLessOften covers the load of hundreds of instances that
// are asked once in a few seconds: an idle one wakes a few times a second, and one with
// requests measures its lag from the first one on.
func TestAnIdleProcessChecksItsClockLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		guard := NewPauseGuard(bubbleClock(), NewCounters(), func(context.Context) {})
		var mu sync.Mutex
		var late []Millis
		guard.OnTick(func(lateness Millis) {
			mu.Lock()
			defer mu.Unlock()
			late = append(late, lateness)
		})
		done := make(chan error, 1)
		go func() { done <- guard.Run(ctx) }()
		ticks := func(watched time.Duration) int {
			mu.Lock()
			before := len(late)
			mu.Unlock()
			time.Sleep(watched)
			mu.Lock()
			defer mu.Unlock()
			return len(late) - before
		}
		if got := ticks(10 * time.Second); got > 40 {
			t.Errorf("%d checks in 10 s without requests", got)
		}
		time.Sleep(30 * time.Millisecond)
		if err := guard.Await(ctx); err != nil {
			t.Error(err)
		}
		if got := ticks(900 * time.Millisecond); got < 17 {
			t.Errorf("%d checks in 900 ms after a request", got)
		}
		time.Sleep(time.Second)
		if got := ticks(10 * time.Second); got > 40 {
			t.Errorf("%d checks in 10 s long after a request", got)
		}
		for _, lateness := range late {
			if lateness != 0 {
				t.Errorf("a check counts as %d ms late", lateness)
			}
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestExchangesWithDelegates covers the load of hundreds of instances on the few that they
// delegate to: only the first delegate, which gets the requests, is asked each second.
func TestExchangesWithDelegates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleClock()
		client := &countingPeers{counts: map[string]int{}}
		peers := NewPeers(PeersParts{
			Self:  PeerInfo{Name: "self", Zone: "z", Address: "self", Incarnation: 1, Capacity: 192},
			Clock: clock, Client: client, Store: NewStore(clock, textDecoder{}, NewCounters()), Facts: NewFactLog(clock),
			Seeds: []string{"a", "b", "c"}, ExchangeInterval: 2 * Second, Counters: NewCounters(), Log: logr.Discard(), Delegate: true,
			Apply: func(Fact) {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- peers.Run(ctx) }()
		time.Sleep(10 * time.Second)
		client.reset()
		time.Sleep(time.Minute)
		first := peers.Delegates()[0].Address
		for address, count := range client.reset() {
			least, most := 10, 30
			if address == first {
				least, most = 55, 65
			}
			if count < least || count > most {
				t.Errorf("%d exchanges a minute with %s, the first is %s", count, address, first)
			}
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// countingPeers are strong instances that answer exchanges.
type countingPeers struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *countingPeers) Exchange(_ context.Context, address string, _ Exchange) (Exchange, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[address]++
	return Exchange{From: PeerInfo{Name: address, Zone: "z", Address: address, Incarnation: 1, Capacity: 800}}, nil
}

func (c *countingPeers) Forget(string)    {}
func (c *countingPeers) Reachable(string) {}

// reset returns the number of exchanges by address since it was last called.
func (c *countingPeers) reset() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = map[string]int{}
	return counts
}

// recordingProbes answer every probe and record when it came.
type recordingProbes struct {
	clock Clock
	mu    sync.Mutex
	at    map[string][]Millis
}

func (p *recordingProbes) Probe(_ context.Context, target Target) (UpstreamStatus, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[target.Name] = append(p.at[target.Name], p.clock.Now())
	return UpstreamStatus{Incarnation: 1, Phase: PhaseLive}, nil
}

func (*recordingProbes) Retain(Set[string]) {}

// TestSuspectsAfterACalm covers a scan for suspects that rests while there is nothing to
// look for: a lost connection and a silent zone are noticed as soon as in the midst of load.
func TestSuspectsAfterACalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouterFixture(ZoneSilentAttempts, 2, scatteredRoute(ZoneSilentAttempts, 0.5))
		probes := &recordingProbes{clock: f.clock, at: map[string][]Millis{}}
		prober := NewProber(f.clock, f.fleet, probes)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- prober.RunSuspects(ctx) }()
		probed := func() int {
			synctest.Wait()
			probes.mu.Lock()
			defer probes.mu.Unlock()
			return len(probes.at)
		}
		time.Sleep(time.Minute)
		if probed() > 0 {
			t.Errorf("probes without suspects: %v", probes.at)
		}
		permit, err := f.fleet.Acquire(ctx, Want{Service: "s0", KeepBroken: true})
		if err != nil {
			t.Fatal(err)
		}
		permit.Fail(&AttemptError{Kind: FailureLost})
		time.Sleep(SuspectScanMillis.Duration())
		if probed() != 1 {
			t.Errorf("probes after a lost connection: %v", probes.at)
		}
		time.Sleep(time.Minute)
		var late []*Permit
		for i := range ZoneSilentAttempts {
			permit, err := f.fleet.Acquire(ctx, Want{Service: "s" + string(rune('0'+i))})
			if err != nil {
				t.Fatal(err)
			}
			late = append(late, permit)
		}
		time.Sleep(ZoneSilentMillis.Duration())
		for _, permit := range late {
			permit.Slow()
		}
		time.Sleep(2 * SuspectScanMillis.Duration())
		if got := probed(); got < ZoneSilentAttempts {
			t.Errorf("%d upstreams probed after a zone fell silent", got)
		}
		for _, permit := range late {
			permit.Release()
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute)
	})
}
