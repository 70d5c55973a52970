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

// countingPlatform answers every read at once or after its wait, and counts them by key.
type countingPlatform struct {
	mu    sync.Mutex
	reads map[string]int
	down  bool
	// services is how many the configuration has.
	services int
}

func (c *countingPlatform) Read(ctx context.Context, key string, after uint64, wait Millis) (Published, error) {
	c.mu.Lock()
	c.reads[key]++
	down := c.down
	c.mu.Unlock()
	if down {
		return Published{}, ErrPlatformUnavailable
	}
	if after > 0 && wait > 0 {
		select {
		case <-time.After(wait.Duration()):
		case <-ctx.Done():
			return Published{}, errors.Join(ErrPlatformUnavailable, ctx.Err())
		}
	}
	if key == KeyInstances {
		return Published{Revision: 3, List: Some(InstanceList{Revision: 3})}, nil
	}
	return Published{Revision: 3, Raw: fmt.Appendf(nil, "7 d %d", c.services)}, nil
}

func (c *countingPlatform) count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads[key]
}

// publicationsFixture is a reader of the platform and its view of the other instances.
type publicationsFixture struct {
	platform     *countingPlatform
	peers        *Peers
	publications *Publications
	clock        Clock
}

// startPublications starts a reader that waits to hear of others for a time.
func startPublications(t *testing.T, join Millis) *publicationsFixture {
	f := &publicationsFixture{platform: &countingPlatform{reads: map[string]int{}, services: 2 * JoinServices}}
	f.clock = NewClockFrom(func() Millis { return Millis(time.Now().UnixMilli()) })
	store := NewStore(f.clock, textDecoder{}, NewCounters())
	f.peers = NewPeers(PeersParts{
		Self:  PeerInfo{Name: "self", Zone: "z", Address: "self", Incarnation: 1, Capacity: 192},
		Clock: f.clock, Client: &fakePeers{asked: NewSet[string](), down: NewSet[string]()}, Store: store,
		Facts: NewFactLog(f.clock), Counters: NewCounters(), Log: logr.Discard(), Delegate: true, Join: join,
		JoinGossip: join, Seeds: []string{"seed"},
	})
	f.publications = NewPublications(PublicationsParts{
		Clock: f.clock, Platform: f.platform, Store: store, Peers: f.peers, Counters: NewCounters(), Log: logr.Discard(),
		Cadence: ReadCadence{Wait: 4 * Second, SharedWait: 2 * Second, Silence: 4 * Second, Pause: 400, RetryMin: 100, RetryMax: 500},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.publications.Run(ctx) }()
	t.Cleanup(func() { cancel() })
	return f
}

// hearOf lets the instance hear of a strong one that last had news of the platform some
// time ago.
func (f *publicationsFixture) hearOf(age Millis) {
	f.peers.Receive(Exchange{
		From:        PeerInfo{Name: "strong", Zone: "z", Address: "strong", Incarnation: 1, Capacity: 800},
		PlatformAge: age, ConfigurationVersion: 7, ConfigurationDigest: "d",
	})
}

// TestReadersAndThoseThatRelyOnThem covers who reads the platform where some instances
// delegate their requests, and how often: the others' reads grow with the fleet.
func TestReadersAndThoseThatRelyOnThem(t *testing.T) {
	const watched = 20 * time.Second
	cases := []struct {
		name string
		play func(f *publicationsFixture)
		// configuration and list bound the reads of each value.
		configurationLeast, configurationMost int
		listLeast, listMost                   int
	}{
		{"alone: reads both all the time", func(*publicationsFixture) {
			time.Sleep(watched)
		}, 4, 8, 4, 8},
		{"with a strong instance that hears the platform: no list, one configuration", func(f *publicationsFixture) {
			for range 20 {
				f.hearOf(0)
				time.Sleep(watched / 20)
			}
		}, 1, 1, 0, 0},
		{"with one that does not hear the platform: configurations in time, no list", func(f *publicationsFixture) {
			for i := range 20 {
				f.hearOf(Millis(i) * Second)
				time.Sleep(watched / 20)
			}
		}, 4, 8, 0, 0},
		{"with one that is lost: both from then on", func(f *publicationsFixture) {
			for i := range 20 {
				if i < 10 {
					f.hearOf(0)
				} else {
					f.peers.DelegateFailed("strong", ErrPeerUnreachable)
				}
				time.Sleep(watched / 20)
			}
		}, 3, 6, 2, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startPublications(t, 0)
				tc.play(f)
				configuration, list := f.platform.count(KeyConfiguration), f.platform.count(KeyInstances)
				if configuration < tc.configurationLeast || configuration > tc.configurationMost {
					t.Errorf("%d reads of the configuration, want %d to %d", configuration, tc.configurationLeast, tc.configurationMost)
				}
				// The first read of the list may come before the strong instance is heard.
				if list < tc.listLeast || list > tc.listMost+1 {
					t.Errorf("%d reads of the list, want %d to %d", list, tc.listLeast, tc.listMost)
				}
				if !f.publications.AllTried() {
					t.Error("not ready")
				}
			})
		})
	}
}

// TestJoining covers the start of an instance in a fleet in which it will delegate: it
// reads the list only once it is clear that nobody else does.
func TestJoining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPublications(t, 2*Second)
		time.Sleep(time.Second)
		if reads := f.platform.count(KeyInstances); reads > 0 || f.publications.AllTried() {
			t.Errorf("%d reads of the list while joining", reads)
		}
		time.Sleep(1500 * time.Millisecond)
		if reads := f.platform.count(KeyInstances); reads == 0 || !f.publications.AllTried() {
			t.Errorf("%d reads of the list after joining alone", reads)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		f := startPublications(t, 2*Second)
		f.hearOf(0)
		// The choice of delegates may stand for delegationMillis from before.
		time.Sleep((delegationMillis + 100).Duration())
		if reads := f.platform.count(KeyInstances); reads > 0 || !f.publications.AllTried() {
			t.Errorf("%d reads of the list beside a strong instance", reads)
		}
	})
}

// TestJoiningEnds covers an instance that starts again: what it hears of the others decides
// how long it waits before it sends requests to upstreams itself. Hundreds that start
// together and each send by themselves use up the connections that upstreams take.
func TestJoiningEnds(t *testing.T) {
	const join = 500 * Millis(1)
	peer := func(name string, capacity int, joining bool, known ...KnownPeer) Exchange {
		return Exchange{
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
		f := startPublications(t, join)
		f.platform.mu.Lock()
		f.platform.services = JoinServices
		f.platform.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		if reads := f.platform.count(KeyInstances); f.peers.Joining() || reads == 0 {
			t.Errorf("joining %t with few services, %d reads of the list", f.peers.Joining(), reads)
		}
	})
	cases := []struct {
		name      string
		hears     []Exchange
		joining   bool
		delegates int
	}{
		{"nobody", nil, true, 0},
		{"one that starts, too: the fleet may be small", []Exchange{peer("a", 192, true)}, false, 0},
		{"one that starts, too, in a large fleet", []Exchange{peer("a", 192, true, many...)}, true, 0},
		{"one that starts, too, and has heard of a strong one", []Exchange{peer("a", 192, true, strong)}, false, 1},
		{"one that knows the others, which are equal", []Exchange{peer("a", 192, false)}, false, 0},
		{"one that starts, too, in a large fleet of much weaker ones", []Exchange{peer("a", 90, true, many...)}, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startPublications(t, join)
				for _, message := range tc.hears {
					f.peers.Receive(message)
				}
				time.Sleep((delegationMillis + 100).Duration())
				settled, settling := f.peers.Settling().Get()
				if f.peers.Joining() != tc.joining || settling != tc.joining || len(f.peers.Delegates()) != tc.delegates {
					t.Errorf("joining %t, settling %t, %d delegates", f.peers.Joining(), settling, len(f.peers.Delegates()))
				}
				if settling && settled-f.clock.Now() > join {
					t.Errorf("settled in %d ms", settled-f.clock.Now())
				}
				time.Sleep(join.Duration())
				if f.peers.Joining() {
					t.Error("joining still")
				}
			})
		})
	}
}

// TestListsOfThoseThatDelegate covers the load of hundreds of instances that take in the list
// of thousands of upstreams at each of its changes: one that delegates its requests asks
// nobody for it, and one that has lost its delegates asks its peers while the store is away.
func TestListsOfThoseThatDelegate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPublications(t, 0)
		f.platform.mu.Lock()
		f.platform.down = true
		f.platform.mu.Unlock()
		weak := Exchange{From: PeerInfo{Name: "weak", Zone: "z", Address: "weak", Incarnation: 1, Capacity: 192}, ListRevision: 9}
		strong := Exchange{From: PeerInfo{Name: "strong", Zone: "z", Address: "strong", Incarnation: 1, Capacity: 800}, ListRevision: 9}
		for _, tc := range []struct {
			name  string
			lost  bool
			wants bool
		}{{"with delegates", false, false}, {"without", true, true}} {
			f.peers.Receive(strong)
			if tc.lost {
				f.peers.DelegateFailed("strong", ErrPeerUnreachable)
			}
			time.Sleep((ListSilenceMillis + Second).Duration())
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

// TestLateSeeds covers instances that start before those that they ask first: they find
// them soon after these listen, not after the pauses of a fleet at rest.
func TestLateSeeds(t *testing.T) {
	const late = 2 * Second
	synctest.Test(t, func(t *testing.T) {
		clock := bubbleClock()
		client := &fakePeers{asked: NewSet[string](), down: NewSet("seed")}
		peers := NewPeers(PeersParts{
			Self:  PeerInfo{Name: "self", Zone: "z", Address: "self", Incarnation: 1, Capacity: 192},
			Clock: clock, Client: client, Store: NewStore(clock, textDecoder{}, NewCounters()), Facts: NewFactLog(clock),
			Seeds: []string{"seed"}, ExchangeInterval: 2 * Second, Counters: NewCounters(), Log: logr.Discard(), Delegate: true,
			Apply: func(Fact) {}, Join: 500, JoinGossip: 250,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- peers.Run(ctx) }()
		time.Sleep(late.Duration())
		client.mu.Lock()
		client.down = NewSet[string]()
		client.mu.Unlock()
		time.Sleep(2 * JoinRetryMillis.Duration())
		if got := len(peers.Alive()); got != 1 {
			t.Errorf("%d instances heard %d ms after the first one listens", got, 2*JoinRetryMillis)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestSettlingAfterDelegates covers an instance that loses the one it delegated to: what it
// knows of upstreams counts as old until it has read the list.
func TestSettlingAfterDelegates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPublications(t, 2*Second)
		f.hearOf(0)
		time.Sleep(time.Second)
		if _, settling := f.peers.Settling().Get(); settling || len(f.peers.Delegates()) != 1 {
			t.Error("settling while it delegates")
		}
		f.platform.mu.Lock()
		f.platform.down = true
		f.platform.mu.Unlock()
		f.peers.DelegateFailed("strong", ErrPeerUnreachable)
		time.Sleep(500 * time.Millisecond)
		if _, settling := f.peers.Settling().Get(); !settling || len(f.peers.Delegates()) != 0 {
			t.Error("not settling without the list")
		}
		f.platform.mu.Lock()
		f.platform.down = false
		f.platform.mu.Unlock()
		// The longest pause after a failed read, with its jitter, is 750 ms.
		time.Sleep(800 * time.Millisecond)
		if _, settling := f.peers.Settling().Get(); settling {
			t.Error("settling after it has read the list")
		}
	})
}
