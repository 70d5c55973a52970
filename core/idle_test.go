package core

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// newSynctestClock returns a clock that follows the fake time of a synctest bubble.
func newSynctestClock() Clock {
	return NewClockFrom(func() Millis { return Millis(time.Now().UnixMilli()) })
}

// TestClockChecksWhileIdle guards against the load of hundreds of instances on one machine
// that each get a request every few seconds. An idle process must check its clock only a few
// times a second, and must return to the usual rate with its first request.
func TestClockChecksWhileIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		guard := NewPauseGuard(newSynctestClock(), NewCounters(), func(context.Context) {})
		var mu sync.Mutex
		var late []Millis
		guard.OnTick(func(lateness Millis) {
			mu.Lock()
			defer mu.Unlock()
			late = append(late, lateness)
		})
		done := make(chan error, 1)
		go func() { done <- guard.Run(ctx) }()
		ticks := func(period time.Duration) int {
			mu.Lock()
			before := len(late)
			mu.Unlock()
			time.Sleep(period)
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
				t.Errorf("a check was reported as %d ms late", lateness)
			}
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestExchangeRatesWithDelegates guards against the load of hundreds of instances on the few
// that they delegate to. An instance must exchange messages every second only with its first
// delegate, which gets the requests.
func TestExchangeRatesWithDelegates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := newSynctestClock()
		client := &countingPeerClient{counts: map[string]int{}}
		peers := NewPeers(PeersConfig{
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
			minimum, maximum := 10, 30
			if address == first {
				minimum, maximum = 55, 65
			}
			if count < minimum || count > maximum {
				t.Errorf("%d exchanges a minute with %s, the first delegate is %s", count, address, first)
			}
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// countingPeerClient counts the exchanges with each peer. All peers have a large capacity.
type countingPeerClient struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *countingPeerClient) Exchange(_ context.Context, address string, _ ExchangeMessage) (ExchangeMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[address]++
	return ExchangeMessage{From: PeerInfo{Name: address, Zone: "z", Address: address, Incarnation: 1, Capacity: 800}}, nil
}

func (c *countingPeerClient) CloseConnection(string) {}
func (c *countingPeerClient) ResetBackoff(string)    {}

// reset returns the number of exchanges by address since the last call.
func (c *countingPeerClient) reset() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = map[string]int{}
	return counts
}

// recordingProbeClient answers every probe and records its time.
type recordingProbeClient struct {
	clock Clock
	mu    sync.Mutex
	at    map[string][]Millis
}

func (p *recordingProbeClient) Probe(_ context.Context, target Target) (UpstreamStatus, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[target.Name] = append(p.at[target.Name], p.clock.Now())
	return UpstreamStatus{Incarnation: 1, Phase: PhaseLive}, nil
}

func (*recordingProbeClient) Retain(Set[string]) {}

// TestSuspectScanAfterIdle covers the scan for suspects, which stops while there are none. A
// lost connection and a zone that stops answering must then be noticed as quickly as under
// load.
func TestSuspectScanAfterIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRouterFixture(ZoneSilentAttempts, 2, scatteredRoute(ZoneSilentAttempts, 0.5))
		probes := &recordingProbeClient{clock: f.clock, at: map[string][]Millis{}}
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
		permit, err := f.fleet.Acquire(ctx, Want{Service: "s0", KeepOnConnectionLoss: true})
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
			permit.RecordSlow()
		}
		time.Sleep(2 * SuspectScanMillis.Duration())
		if got := probed(); got < ZoneSilentAttempts {
			t.Errorf("%d upstreams probed after a zone stopped answering", got)
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
