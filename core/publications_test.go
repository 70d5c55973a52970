package core

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// countingPlatform counts the reads of each key. It answers a read after the wait, or at
// once if after is zero.
type countingPlatform struct {
	mu    sync.Mutex
	reads map[string]int
	down  bool
	// services is the number of services in the configuration.
	services int
}

func (c *countingPlatform) Read(ctx context.Context, key string, after Revision, wait Millis) (PublishedValue, error) {
	c.mu.Lock()
	c.reads[key]++
	down := c.down
	c.mu.Unlock()
	if down {
		return PublishedValue{}, ErrPlatformUnavailable
	}
	if after > 0 && wait > 0 {
		select {
		case <-time.After(wait.Duration()):
		case <-ctx.Done():
			return PublishedValue{}, errors.Join(ErrPlatformUnavailable, ctx.Err())
		}
	}
	if key == KeyInstances {
		return PublishedValue{Revision: 3, List: Some(InstanceList{Revision: 3})}, nil
	}
	return PublishedValue{Revision: 3, Raw: fmt.Appendf(nil, "7 d %d", c.services)}, nil
}

func (c *countingPlatform) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads[key]
}

// platformWatcherFixture is a PlatformWatcher with the platform and the peers that it uses.
type platformWatcherFixture struct {
	platform *countingPlatform
	peers    *Peers
	watcher  *PlatformWatcher
	clock    Clock
}

// startPlatformWatcher runs a PlatformWatcher until the test ends. Its Peers waits up to the
// given time for other instances before it ends joining.
func startPlatformWatcher(t *testing.T, join Millis) *platformWatcherFixture {
	return startPlatformWatcherWith(t, join, 2*MaxServicesWithoutJoining)
}

// startPlatformWatcherWith is startPlatformWatcher with the number of services in the configuration.
func startPlatformWatcherWith(t *testing.T, join Millis, services int) *platformWatcherFixture {
	f := &platformWatcherFixture{platform: &countingPlatform{reads: map[string]int{}, services: services}}
	f.clock = NewClockFrom(func() Millis { return Millis(time.Now().UnixMilli()) })
	store := NewStore(f.clock, textDecoder{}, NewCounters())
	f.peers = NewPeers(PeersConfig{
		Self:  PeerInfo{Name: "self", Zone: "z", Address: "self", Incarnation: 1, Capacity: 192},
		Clock: f.clock, Client: &fakePeerClient{contacted: NewSet[string](), down: NewSet[string]()}, Store: store,
		Facts: NewFactLog(f.clock), Counters: NewCounters(), Log: logr.Discard(), Delegate: true, JoinTimeout: join,
		JoinGossipTimeout: join, Seeds: []string{"seed"},
	})
	f.watcher = NewPlatformWatcher(PlatformWatcherConfig{
		Clock: f.clock, Platform: f.platform, Store: store, Peers: f.peers, Counters: NewCounters(), Log: logr.Discard(),
		Intervals: ReadIntervals{Wait: 4 * Second, SharedWait: 2 * Second, MaxAge: 4 * Second, Pause: 400, RetryMin: 100, RetryMax: 500},
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- f.watcher.Run(ctx) }()
	t.Cleanup(func() { cancel() })
	return f
}

// receiveFromStrongPeer makes the instance receive a message from a peer with a large
// capacity that last had contact with the platform age ago.
func (f *platformWatcherFixture) receiveFromStrongPeer(age Millis) {
	f.peers.Receive(ExchangeMessage{
		From:        PeerInfo{Name: "strong", Zone: "z", Address: "strong", Incarnation: 1, Capacity: 800},
		PlatformAge: age, ConfigurationVersion: 7, ConfigurationDigest: "d",
	})
}

// TestPlatformReadsWithDelegation covers how often an instance that may delegate its
// requests reads the platform. The reads of instances that delegate would otherwise grow
// with the fleet.
func TestPlatformReadsWithDelegation(t *testing.T) {
	const period = 20 * time.Second
	cases := []struct {
		name string
		run  func(f *platformWatcherFixture)
		// The allowed numbers of reads of each value.
		configurationMin, configurationMax int
		listMin, listMax                   int
	}{
		{"without peers it reads both values", func(*platformWatcherFixture) {
			time.Sleep(period)
		}, 4, 8, 4, 8},
		{"with a delegate that has contact with the platform it reads one configuration and no list", func(f *platformWatcherFixture) {
			for range 20 {
				f.receiveFromStrongPeer(0)
				time.Sleep(period / 20)
			}
		}, 1, 1, 0, 0},
		{"with a delegate without contact with the platform it reads configurations but no list", func(f *platformWatcherFixture) {
			for i := range 20 {
				f.receiveFromStrongPeer(Millis(i) * Second)
				time.Sleep(period / 20)
			}
		}, 4, 8, 0, 0},
		{"after it loses its delegate it reads both values", func(f *platformWatcherFixture) {
			for i := range 20 {
				if i < 10 {
					f.receiveFromStrongPeer(0)
				} else {
					f.peers.DelegateFailed("strong", ErrPeerUnreachable)
				}
				time.Sleep(period / 20)
			}
		}, 3, 6, 2, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startPlatformWatcher(t, 0)
				tc.run(f)
				configuration, list := f.platform.count(KeyConfiguration), f.platform.count(KeyInstances)
				if configuration < tc.configurationMin || configuration > tc.configurationMax {
					t.Errorf("%d reads of the configuration, want %d to %d", configuration, tc.configurationMin, tc.configurationMax)
				}
				// The list may be read once before the first message from the strong instance.
				if list < tc.listMin || list > tc.listMax+1 {
					t.Errorf("%d reads of the list, want %d to %d", list, tc.listMin, tc.listMax)
				}
				if !f.watcher.AllTried() {
					t.Error("AllTried is false")
				}
			})
		})
	}
}

// TestListReadsWhileJoining covers the start of an instance that may delegate its requests:
// it must not read the list until joining ends without a delegate.
func TestListReadsWhileJoining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlatformWatcher(t, 2*Second)
		time.Sleep(time.Second)
		if reads := f.platform.count(KeyInstances); reads > 0 || f.watcher.AllTried() {
			t.Errorf("%d reads of the list while joining", reads)
		}
		time.Sleep(1500 * time.Millisecond)
		if reads := f.platform.count(KeyInstances); reads == 0 || !f.watcher.AllTried() {
			t.Errorf("%d reads of the list after joining alone", reads)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		f := startPlatformWatcher(t, 2*Second)
		f.receiveFromStrongPeer(0)
		// An earlier choice of delegates may be cached for delegationMillis.
		time.Sleep((delegationMillis + 100).Duration())
		if reads := f.platform.count(KeyInstances); reads > 0 || !f.watcher.AllTried() {
			t.Errorf("%d reads of the list with a delegate", reads)
		}
	})
}

// TestEndOfJoining covers how long an instance that restarts waits before it sends requests
// to upstreams itself, depending on the messages from other instances. If hundreds of
// instances start together and each sends requests itself, they use up the connections that
// upstreams accept.
func TestEndOfJoining(t *testing.T) {
	const join = 500 * Millis(1)
	peer := func(name string, capacity int, joining bool, known ...KnownPeer) ExchangeMessage {
		return ExchangeMessage{
			From:    PeerInfo{Name: name, Zone: "z", Address: name, Incarnation: 1, Capacity: capacity},
			Joining: joining, Known: known, ConfigurationVersion: 7, ConfigurationDigest: "d",
		}
	}
	strong := KnownPeer{Info: PeerInfo{Name: "strong", Zone: "z", Address: "strong", Incarnation: 1, Capacity: 800}}
	var many []KnownPeer
	for i := range 2 * MaxPeerLinks {
		name := fmt.Sprint("n", i)
		many = append(many, KnownPeer{Info: PeerInfo{Name: name, Zone: "y", Address: name, Incarnation: 1, Capacity: 150}})
	}
	synctest.Test(t, func(t *testing.T) {
		f := startPlatformWatcherWith(t, join, MaxServicesWithoutJoining)
		time.Sleep(300 * time.Millisecond)
		if reads := f.platform.count(KeyInstances); f.peers.Joining() || reads == 0 {
			t.Errorf("joining %t with few services, %d reads of the list", f.peers.Joining(), reads)
		}
	})
	cases := []struct {
		name      string
		messages  []ExchangeMessage
		joining   bool
		delegates int
	}{
		{"no message", nil, true, 0},
		{"a joining peer in a possibly small fleet", []ExchangeMessage{peer("a", 192, true)}, false, 0},
		{"a joining peer in a large fleet", []ExchangeMessage{peer("a", 192, true, many...)}, true, 0},
		{"a joining peer that knows a strong instance", []ExchangeMessage{peer("a", 192, true, strong)}, false, 1},
		{"a peer of equal capacity that has joined", []ExchangeMessage{peer("a", 192, false)}, false, 0},
		{"a joining peer of much smaller capacity in a large fleet", []ExchangeMessage{peer("a", 90, true, many...)}, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startPlatformWatcher(t, join)
				for _, message := range tc.messages {
					f.peers.Receive(message)
				}
				time.Sleep((delegationMillis + 100).Duration())
				warmupEnd, warming := f.peers.WarmupEnd().Get()
				if f.peers.Joining() != tc.joining || warming != tc.joining || len(f.peers.Delegates()) != tc.delegates {
					t.Errorf("joining %t, warming up %t, %d delegates", f.peers.Joining(), warming, len(f.peers.Delegates()))
				}
				if warming && warmupEnd-f.clock.Now() > join {
					t.Errorf("the warm-up ends only in %d ms", warmupEnd-f.clock.Now())
				}
				time.Sleep(join.Duration())
				if f.peers.Joining() {
					t.Error("still joining after the maximum time")
				}
			})
		})
	}
}

// TestListRequestsToPeers guards against the load of hundreds of instances that each fetch
// a list of thousands of upstreams whenever it changes. An instance that delegates its
// requests must not ask its peers for the list. One that has lost its delegates must ask
// them while the platform is unavailable.
func TestListRequestsToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlatformWatcher(t, 0)
		f.platform.mu.Lock()
		f.platform.down = true
		f.platform.mu.Unlock()
		weak := ExchangeMessage{From: PeerInfo{Name: "weak", Zone: "z", Address: "weak", Incarnation: 1, Capacity: 192}, ListRevision: 9}
		strong := ExchangeMessage{From: PeerInfo{Name: "strong", Zone: "z", Address: "strong", Incarnation: 1, Capacity: 800}, ListRevision: 9}
		for _, tc := range []struct {
			name  string
			lost  bool
			wants bool
		}{{"with delegates", false, false}, {"without delegates", true, true}} {
			f.peers.Receive(strong)
			if tc.lost {
				f.peers.DelegateFailed("strong", ErrPeerUnreachable)
			}
			time.Sleep((ListMaxAgeMillis + Second).Duration())
			wants := false
			if !tc.lost {
				wants = f.peers.Receive(strong).WantsList
			}
			if wants = f.peers.Receive(weak).WantsList || wants; wants != tc.wants {
				t.Errorf("%s: wants the list: %t", tc.name, wants)
			}
		}
	})
}

// TestSeedsThatStartLate covers an instance that starts before its seeds. It must find
// them soon after they listen, without waiting for the usual backoff.
func TestSeedsThatStartLate(t *testing.T) {
	const startDelay = 2 * Second
	synctest.Test(t, func(t *testing.T) {
		clock := newSynctestClock()
		client := &fakePeerClient{contacted: NewSet[string](), down: NewSet("seed")}
		peers := NewPeers(PeersConfig{
			Self:  PeerInfo{Name: "self", Zone: "z", Address: "self", Incarnation: 1, Capacity: 192},
			Clock: clock, Client: client, Store: NewStore(clock, textDecoder{}, NewCounters()), Facts: NewFactLog(clock),
			Seeds: []string{"seed"}, ExchangeInterval: 2 * Second, Counters: NewCounters(), Log: logr.Discard(), Delegate: true,
			Apply: func(Fact) {}, JoinTimeout: 500, JoinGossipTimeout: 250,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- peers.Run(ctx) }()
		time.Sleep(startDelay.Duration())
		client.mu.Lock()
		client.down = NewSet[string]()
		client.mu.Unlock()
		time.Sleep(2 * JoinRetryMillis.Duration())
		if got := len(peers.Alive()); got != 1 {
			t.Errorf("%d live peers %d ms after the seed listens", got, 2*JoinRetryMillis)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestWarmupAfterLosingDelegates covers an instance that loses its only delegate: its
// list of upstreams must count as outdated until it has read the list.
func TestWarmupAfterLosingDelegates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlatformWatcher(t, 2*Second)
		f.receiveFromStrongPeer(0)
		time.Sleep(time.Second)
		if _, warming := f.peers.WarmupEnd().Get(); warming || len(f.peers.Delegates()) != 1 {
			t.Error("warming up with a delegate")
		}
		f.platform.mu.Lock()
		f.platform.down = true
		f.platform.mu.Unlock()
		f.peers.DelegateFailed("strong", ErrPeerUnreachable)
		time.Sleep(500 * time.Millisecond)
		if _, warming := f.peers.WarmupEnd().Get(); !warming || len(f.peers.Delegates()) != 0 {
			t.Error("not warming up before the list was read")
		}
		f.platform.mu.Lock()
		f.platform.down = false
		f.platform.mu.Unlock()
		// The maximum delay after a failed read is 750 ms, with jitter.
		time.Sleep(800 * time.Millisecond)
		if _, warming := f.peers.WarmupEnd().Get(); warming {
			t.Error("warming up after the list was read")
		}
	})
}

// TestListReadAfterJoining covers an instance that can send requests to upstreams itself: it must
// read the list of upstreams as soon as a message ends its joining, not at its next check, and say
// until then that it is warming up, because callers that are told to come back within a few
// milliseconds are refused again.
func TestListReadAfterJoining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlatformWatcher(t, 2*Second)
		time.Sleep(time.Second)
		f.platform.mu.Lock()
		f.platform.down = true
		f.platform.mu.Unlock()
		f.peers.Receive(ExchangeMessage{
			From:    PeerInfo{Name: "weak", Zone: "z", Address: "weak", Incarnation: 1, Capacity: 90},
			Joining: true, ConfigurationVersion: 7, ConfigurationDigest: "d",
		})
		time.Sleep(5 * time.Millisecond)
		if reads := f.platform.count(KeyInstances); f.peers.Joining() || reads != 1 {
			t.Errorf("joining %t, %d reads of the list 5 ms after the message", f.peers.Joining(), reads)
		}
		if _, warming := f.peers.WarmupEnd().Get(); !warming {
			t.Error("not warming up without a list of upstreams")
		}
	})
}
