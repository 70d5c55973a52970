package peer

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"acaciavane/core"
	"acaciavane/io/peer/peerpb"
)

// TestFramesInPieces guards against frames that are missed when they arrive in pieces.
func TestFramesInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var raw bytes.Buffer
		raw.WriteString(http2.ClientPreface)
		framer := http2.NewFramer(&raw, nil)
		var want []frameHeader
		for range rapid.IntRange(0, 5).Draw(t, "frames") {
			size := rapid.IntRange(0, 40).Draw(t, "size")
			stream := rapid.Uint32Range(1, 1<<31-1).Draw(t, "stream")
			if rapid.Bool().Draw(t, "ends") {
				_ = framer.WriteData(stream, true, make([]byte, size))
				want = append(want, frameHeader{kind: frameData, flags: flagEndStream, stream: stream, length: size})
			} else {
				_ = framer.WriteRSTStream(stream, 0)
				want = append(want, frameHeader{kind: frameRSTStream, stream: stream, length: 4})
			}
		}
		var got []frameHeader
		scanner := frameScanner{skip: prefaceBytes}
		for raw.Len() > 0 {
			scanner.scan(raw.Next(rapid.IntRange(1, 30).Draw(t, "piece")), func(f frameHeader) { got = append(got, f) })
		}
		if !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// TestEndedCallsHoldNothing guards against calls that are counted after their end, which would close
// the connections of sound peers in time.
func TestEndedCallsHoldNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &largeHandler{fakeHandler: &fakeHandler{reports: []core.GroupReport{{Shards: []int{0}, Signatures: []string{"a"}}}}}
	server := NewServer(core.NewClock(), handler, core.NewCounters(), logr.Discard())
	go func() { _ = server.Serve(listener) }()
	defer server.grpc.Stop()
	client := NewClient(core.NewClock(), core.NewCounters(), &net.Dialer{})
	defer client.Close()
	address := listener.Addr().String()
	stub, err := client.stub(address)
	if err != nil {
		t.Fatal(err)
	}
	var calls sync.WaitGroup
	for i := range 60 {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			request := newGroupRequest()
			switch i % 4 {
			case 0:
				request.Request.Message.Body = make([]byte, 300<<10)
				_, _ = client.Delegate(ctx, address, request.DelegatedRequest, func() {})
			case 1:
				_ = client.Gather(ctx, address, request, func(core.GroupReport) {})
			case 2:
				message := &peerpb.ExchangeMessage{Configuration: make([]byte, MaxMessageBytes+1)}
				if _, err := stub.Exchange(ctx, message); status.Code(err) != codes.ResourceExhausted {
					t.Errorf("got %v for a message that is too large", err)
				}
			case 3:
				time.AfterFunc(time.Duration(i)*time.Millisecond/4, cancel)
				_, _ = client.Delegate(ctx, address, request.DelegatedRequest, func() {})
			}
		})
	}
	calls.Wait()
	deadline := time.Now().Add(10 * time.Second)
	for client.received.held() != 0 || server.received.held() != 0 {
		if time.Now().After(deadline) {
			t.Fatalf("the client holds %d bytes, the server %d", client.received.held(), server.received.held())
		}
		time.Sleep(time.Millisecond)
	}
}

// largeHandler answers delegated requests with a large body.
type largeHandler struct {
	*fakeHandler
}

func (*largeHandler) AnswerDelegated(context.Context, core.DelegatedRequest) core.DelegatedAnswer {
	return core.DelegatedAnswer{Answer: core.RoutedAnswer{Outcome: core.OutcomeAnswered,
		Reply: core.Some(core.RoutedReply{Status: 200, Body: make([]byte, 300<<10)})}}
}

func (h *largeHandler) AnswerGroup(_ context.Context, _ core.GroupRequest, report func(core.GroupReport) error) error {
	return report(h.reports[0])
}

// TestLargestBookIsAccepted guards against a bound on elements that refuses the messages with most of
// them.
func TestLargestBookIsAccepted(t *testing.T) {
	request := core.Request{Collection: "c", Kind: "k"}
	run := core.RunCopy{Nonce: [16]byte{1}, Fingerprint: request.Fingerprint(), Expires: 2, Answer: core.Unknown("", core.ReasonTimeout, "")}
	book := core.BookCopy{Home: core.Home{Instance: "n", Incarnation: 1}, Secret: []byte("s")}
	for size := 0; size < MaxMessageBytes*9/10; size += proto.Size(toBook(core.BookCopy{Runs: []core.RunCopy{run}})) {
		book.Runs = append(book.Runs, run)
	}
	codec := newBoundedCodec()
	raw, err := codec.Marshal(toBook(book))
	if err != nil {
		t.Fatal(err)
	}
	var decoded peerpb.Book
	if err := codec.Unmarshal(raw, &decoded); err != nil || len(decoded.GetRuns()) != len(book.Runs) {
		t.Errorf("got %d of %d runs, %v", len(decoded.GetRuns()), len(book.Runs), err)
	}
}
