package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/encoding/protowire"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
	"acaciavane/standin/hostile"
)

const (
	// maxPeerHeap bounds the heap of a test: four of the largest messages in each direction, twice as
	// much garbage, and the test itself.
	maxPeerHeap = 16 * MaxMessageBytes
	// faultyStreams is how many streams a faulty peer uses at once. Their largest messages exceed
	// maxPeerHeap.
	faultyStreams = 64
	// faultDuration is how long a faulty peer may send.
	faultDuration = 1500 * time.Millisecond
)

// checkHeap checks the peak of the heap.
func checkHeap(t *testing.T, peak uint64) {
	t.Helper()
	t.Logf("%d KB of heap", peak>>10)
	if peak > maxPeerHeap {
		t.Errorf("%d MB of heap, at most %d allowed", peak>>20, maxPeerHeap>>20)
	}
}

// soundServer returns the address of a server whose handler answers.
func soundServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(core.NewClock(), &fakeHandler{reply: soundMessage}, core.NewCounters(), logr.Discard())
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		server.Stop(ctx)
	})
	return listener.Addr().String()
}

var soundMessage = core.ExchangeMessage{From: core.PeerInfo{Name: "n", Zone: "z", Address: "127.0.0.1:1", Incarnation: 3}}

// checkExchange checks that the client exchanges messages with the instance at the address.
func checkExchange(t *testing.T, client *Client, address string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := client.Exchange(ctx, address, soundMessage); err != nil {
		t.Errorf("exchange with a sound peer: %v", err)
	}
}

// TestEndlessCalls guards against calls of a faulty peer that are held as long as it sends.
func TestEndlessCalls(t *testing.T) {
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			address := soundServer(t)
			peak := hostile.HeapPeak()
			var calls sync.WaitGroup
			for range 2 {
				p, err := dialRaw(address)
				if err != nil {
					t.Fatal(err)
				}
				for i := range uint32(faultyStreams / 2) {
					calls.Go(func() { fault(p, 2*i+1, requestFields) })
				}
				time.AfterFunc(faultDuration, func() { _ = p.conn.Close() })
			}
			client := NewClient(core.NewClock(), core.NewCounters(), &net.Dialer{})
			defer client.Close()
			checkExchange(t, client, address)
			calls.Wait()
			checkExchange(t, client, address)
			checkHeap(t, peak())
		})
	}
}

// TestEndlessReplies guards against replies of a faulty peer that are held as long as it sends, and
// calls that last as long.
func TestEndlessReplies(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *Client, address string) error{
		"delegate": func(ctx context.Context, c *Client, address string) error {
			_, err := c.Delegate(ctx, address, newGroupRequest().DelegatedRequest, func() {})
			return err
		},
		"gather": func(ctx context.Context, c *Client, address string) error {
			return c.Gather(ctx, address, newGroupRequest(), func(core.GroupReport) {})
		},
		"exchange": func(ctx context.Context, c *Client, address string) error {
			_, err := c.Exchange(ctx, address, soundMessage)
			return err
		},
	}
	for name, fault := range faults {
		for call, run := range calls {
			t.Run(call+"/"+name, func(t *testing.T) {
				address, stop, err := serveRaw(fault)
				if err != nil {
					t.Fatal(err)
				}
				defer stop()
				client := NewClient(core.NewClock(), core.NewCounters(), &net.Dialer{})
				defer client.Close()
				ctx, cancel := context.WithTimeout(context.Background(), faultDuration/3)
				defer cancel()
				peak := hostile.HeapPeak()
				var group sync.WaitGroup
				for range faultyStreams {
					group.Go(func() {
						if err := run(ctx, client, address); err == nil {
							t.Error("the call succeeded")
						}
					})
				}
				group.Wait()
				checkHeap(t, peak())
				checkExchange(t, client, soundServer(t))
			})
		}
	}
}

// TestMessagesThatExpand guards against messages that are small and become large when they are decoded.
func TestMessagesThatExpand(t *testing.T) {
	for name, field := range map[string]protowire.Number{"known peers": 13, "facts": 8} {
		// Each item holds an embedded message, if it has a field of this type.
		empty := protowire.AppendBytes(protowire.AppendTag(nil, field, protowire.BytesType), []byte{10, 0})
		raw := bytes.Repeat(empty, MaxMessageBytes/len(empty))
		send := func(p *rawPeer, stream uint32, header []hpack.HeaderField) {
			p.open(stream, header...)
			p.send(stream, prefix(0, uint32(len(raw))))
			p.send(stream, raw)
		}
		t.Run("call/"+name, func(t *testing.T) {
			address := soundServer(t)
			peak := hostile.HeapPeak()
			p, err := dialRaw(address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = p.conn.Close() }()
			send(p, 1, requestFields)
			p.write(func(f *http2.Framer) error { return f.WriteData(1, true, nil) })
			p.awaitEnd(1)
			checkHeap(t, peak())
		})
		t.Run("reply/"+name, func(t *testing.T) {
			address, stop, err := serveRaw(send)
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			client := NewClient(core.NewClock(), core.NewCounters(), &net.Dialer{})
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*faultDuration)
			defer cancel()
			peak := hostile.HeapPeak()
			if _, err := client.Exchange(ctx, address, soundMessage); err == nil {
				t.Error("the call succeeded")
			}
			checkHeap(t, peak())
		})
	}
}

// TestMostElements guards against a bound on elements that is too high for the memory of an instance.
func TestMostElements(t *testing.T) {
	const most = MaxMessageBytes / elementBytes
	item := protowire.AppendBytes(protowire.AppendTag(nil, 13, protowire.BytesType), []byte{10, 0})
	raw := bytes.Repeat(item, most-1)
	raw = protowire.AppendBytes(protowire.AppendTag(raw, 4, protowire.BytesType), make([]byte, MaxMessageBytes-len(raw)-8))
	peak := hostile.HeapPeak()
	var decoded peerpb.ExchangeMessage
	if err := newBoundedCodec().Unmarshal(mem.BufferSlice{mem.SliceBuffer(raw)}, &decoded); err != nil {
		t.Fatal(err)
	}
	if _, err := fromExchange(&decoded); err == nil {
		t.Error("a message without a sender was accepted")
	}
	checkHeap(t, peak())
	runtime.KeepAlive(&decoded)
}

// TestLongNames guards against names of the size of a message, which are kept for minutes.
func TestLongNames(t *testing.T) {
	long, short := strings.Repeat("n", MaxMessageBytes/8), "n"
	instance := func(name, zone, address string) core.PeerInfo {
		return core.PeerInfo{Name: name, Zone: zone, Address: address, Incarnation: 1}
	}
	message := core.ExchangeMessage{
		From: instance(short, short, short),
		Known: []core.KnownPeer{
			{Info: instance(long, short, short)}, {Info: instance(short, long, short)}, {Info: instance(short, short, long)},
			{Info: instance(short, short, short)},
		},
		Facts: []core.Fact{{Subject: long}, {Address: long}, {Kind: core.FactKind(long)}, {Verdict: core.Verdict(long)}, {Subject: short}},
	}
	got, err := fromExchange(toExchange(message))
	if err != nil || len(got.Known) != 1 || len(got.Facts) != 1 {
		t.Errorf("%d instances, %d facts, %v; want one of each", len(got.Known), len(got.Facts), err)
	}
	for name, from := range map[string]core.PeerInfo{
		"name": instance(long, short, short), "zone": instance(short, long, short), "address": instance(short, short, long),
	} {
		if _, err := fromExchange(toExchange(core.ExchangeMessage{From: from})); !errors.Is(err, ErrMalformed) {
			t.Errorf("a sender with a long %s: got %v", name, err)
		}
	}
	if _, err := fromExchange(toExchange(core.ExchangeMessage{From: instance(short, short, short), ConfigurationDigest: long})); !errors.Is(err, ErrMalformed) {
		t.Errorf("a long digest: got %v", err)
	}
}
