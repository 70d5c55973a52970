package core

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// fakePeerClient is a PeerClient whose peers have configuration 7 in force.
type fakePeerClient struct {
	mu        sync.Mutex
	contacted Set[string]
	down      Set[string]
	// unresponsive makes exchanges with the peers that are down time out.
	unresponsive bool
	// closedAddresses are the arguments of CloseConnection.
	closedAddresses []string
}

func (f *fakePeerClient) Exchange(ctx context.Context, address string, _ ExchangeMessage) (ExchangeMessage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contacted.Add(address)
	if f.down.Has(address) {
		if f.unresponsive {
			<-ctx.Done()
		}
		return ExchangeMessage{}, ErrPeerUnreachable
	}
	return ExchangeMessage{
		From:                 PeerInfo{Name: address, Zone: "z", Address: address, Incarnation: 1},
		ConfigurationVersion: 7, ConfigurationDigest: "d", Configuration: []byte("7 d"),
		Facts: []Fact{NewLeavingFact("u0", 3)}, Sequence: 1,
	}, nil
}

func (f *fakePeerClient) ResetBackoff(string) {}
func (f *fakePeerClient) CloseConnection(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closedAddresses = append(f.closedAddresses, address)
}

// TestConnectionClosedAfterTimeouts covers a connection that no longer delivers anything,
// although a new connection to the same peer would work. It must be closed after two
// consecutive timeouts, and again after two more. It must not be closed after other
// failures, because requests may be in flight on it.
func TestConnectionClosedAfterTimeouts(t *testing.T) {
	const address = "127.0.0.1:7000"
	for _, unresponsive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			client := &fakePeerClient{contacted: NewSet[string](), down: NewSet(address), unresponsive: unresponsive}
			peers, _ := newTestPeers(client, 1, func(Fact) {})
			for i, closed := range []int{0, 1, 1, 2} {
				_ = peers.exchange(context.Background(), address)
				if !unresponsive {
					closed = 0
				}
				if len(client.closedAddresses) != closed {
					t.Errorf("unresponsive %t: closed %d times after %d failures, want %d", unresponsive, len(client.closedAddresses), i+1, closed)
				}
			}
			client.down = NewSet[string]()
			if err := peers.exchange(context.Background(), address); err != nil {
				t.Error(err)
			}
		})
	}
}

// blockingPeerClient is a PeerClient whose CloseConnection waits until the state of the peers can be
// read, like one that waits for a goroutine that needs it.
type blockingPeerClient struct {
	fakePeerClient
	peers  *Peers
	closed atomic.Int64
}

func (b *blockingPeerClient) CloseConnection(string) {
	b.peers.Alive()
	b.closed.Add(1)
}

// TestCloseDoesNotBlockPeers guards against a deadlock of the whole instance: the lock of Peers, which each
// request needs, is held while a connection is closed.
func TestCloseDoesNotBlockPeers(t *testing.T) {
	const address, gone = "127.0.0.1:7000", "127.0.0.1:7999"
	cases := map[string]func(p *Peers){
		"after timeouts": func(p *Peers) {
			for range ReconnectAfterTimeouts {
				_ = p.exchange(context.Background(), address)
			}
		},
		"of a peer that is gone": func(p *Peers) {
			p.peers[gone] = &peerState{address: gone, heardAt: p.Clock.Now() - 2*KnownPeerTTLMillis}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = p.Run(ctx)
		},
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			client := &blockingPeerClient{fakePeerClient: fakePeerClient{
				contacted: NewSet[string](), down: NewSet(address), unresponsive: true,
			}}
			peers, _ := newTestPeers(&client.fakePeerClient, 1, func(Fact) {})
			peers.Client, client.peers = client, peers
			done := make(chan struct{})
			go func() {
				defer close(done)
				act(peers)
			}()
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("deadlock")
			}
			if client.closed.Load() == 0 {
				t.Error("no connection was closed")
			}
		})
	}
}

func newTestPeers(client *fakePeerClient, count int, applied func(Fact)) (*Peers, *Store) {
	clock := NewClock()
	store := newTestStore()
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", 7000+i))
	}
	return NewPeers(PeersConfig{
		ReadersPerZone: ReadersPerZone, ExchangeInterval: ExchangeIntervalMillis,
		Self:  PeerInfo{Name: "self", Zone: "z", Address: "127.0.0.1:6999", Incarnation: 1},
		Seeds: seeds, Clock: clock, Client: client, Store: store,
		Facts: NewFactLog(clock), Counters: NewCounters(), Apply: applied,
	}), store
}

// TestFirstExchanges covers the start of an instance: AllTried must become true even if
// some peers are down, and the configuration and facts of the peers must be applied.
func TestFirstExchanges(t *testing.T) {
	cases := []struct {
		name      string
		count     int
		down      int
		contacted int
	}{
		{"without seeds", 0, 0, 0},
		{"with fewer seeds than links", 5, 0, 5},
		{"with some seeds down", 5, 3, 5},
		{"with more seeds than links", 60, 0, 6},
	}
	Convey("An instance", t, func() {
		for _, tc := range cases {
			Convey(tc.name, func() {
				client := &fakePeerClient{contacted: NewSet[string](), down: NewSet[string]()}
				var mu sync.Mutex
				applied := 0
				peers, store := newTestPeers(client, tc.count, func(Fact) { mu.Lock(); defer mu.Unlock(); applied++ })
				for i := range tc.down {
					client.down.Add(fmt.Sprintf("127.0.0.1:%d", 7000+i))
				}
				So(peers.AllTried(), ShouldEqual, tc.count == 0)
				ctx, cancel := context.WithCancel(context.Background())
				stopped := make(chan error)
				go func() { stopped <- peers.Run(ctx) }()
				for start := time.Now(); !peers.AllTried() && time.Since(start) < 5*time.Second; {
					time.Sleep(time.Millisecond)
				}
				So(peers.AllTried(), ShouldBeTrue)
				cancel()
				So(<-stopped, ShouldBeNil)
				client.mu.Lock()
				So(len(client.contacted), ShouldEqual, tc.contacted)
				client.mu.Unlock()
				current, ok := store.Current()
				So(ok, ShouldEqual, tc.count > 0)
				if ok {
					So(current.Configuration.Version, ShouldEqual, 7)
					So(applied, ShouldEqual, 1)
				}
			})
		}
	})
	goleak.VerifyNone(t)
}

// bootingPeerClient is a PeerClient for one peer whose machine starts at listensAt. As with TCP, a
// connection that was opened earlier carries nothing until the handshake is sent again.
type bootingPeerClient struct {
	fakePeerClient
	clock     Clock
	listensAt Millis
	// openedAt is when the connection was opened, or zero if there is none.
	openedAt Millis
}

// handshakeRetryMillis is the delay after which a lost TCP handshake is sent again.
const handshakeRetryMillis = 1 * Second

func (b *bootingPeerClient) Exchange(ctx context.Context, address string, message ExchangeMessage) (ExchangeMessage, error) {
	if b.openedAt == 0 {
		b.openedAt = b.clock.Now()
	}
	if b.openedAt < b.listensAt && b.clock.Now() < b.openedAt+handshakeRetryMillis {
		<-ctx.Done()
		return ExchangeMessage{}, ErrPeerUnreachable
	}
	return b.fakePeerClient.Exchange(ctx, address, message)
}

func (b *bootingPeerClient) CloseConnection(string) { b.openedAt = 0 }

// TestSeedFoundSoonAfterPowerLoss covers a fleet whose machines all lost power: the machine of a
// seed comes back 300 ms after this one. Callers are refused until the seed is found, so a lost
// handshake must not delay that until its retransmission.
func TestSeedFoundSoonAfterPowerLoss(t *testing.T) {
	const bootDelay, maxDelay = 300 * Millis(1), 350 * Millis(1)
	synctest.Test(t, func(t *testing.T) {
		clock := NewClock()
		client := &bootingPeerClient{fakePeerClient: fakePeerClient{contacted: NewSet[string](), down: NewSet[string]()}, clock: clock}
		peers, _ := newTestPeers(&client.fakePeerClient, 1, func(Fact) {})
		peers.Client, peers.JoinTimeout = client, Second
		started := clock.Now()
		client.listensAt = started + bootDelay
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error)
		go func() { stopped <- peers.Run(ctx) }()
		for peers.discovering() && clock.Since(started) < 5*Second {
			time.Sleep(time.Millisecond)
		}
		if found := clock.Since(started); found > bootDelay+maxDelay {
			t.Errorf("the seed was found %d ms after it listened, want at most %d ms", found-bootDelay, maxDelay)
		}
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}
