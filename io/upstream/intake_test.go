package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"acaciavane/core"
)

// usualMemoryBytes is the memory of a usual instance of the users.
const usualMemoryBytes = 184 << 20

// flood is an upstream that answers each request with a start and then with the same bytes
// until the connection breaks.
type flood struct {
	start  string
	repeat string
	// pause comes between two writes.
	pause time.Duration
	// still sends nothing after the start.
	still bool
}

// floods are replies without end, by what they repeat.
func floods() map[string]flood {
	const ok = "HTTP/1.1 200 OK\r\n"
	return map[string]flood{
		"one header line":            {start: ok + "X-A: ", repeat: strings.Repeat("a", 32<<10)},
		"header fields":              {start: ok, repeat: strings.Repeat("X-A: b\r\n", 4<<10)},
		"header fields of few bytes": {start: ok, repeat: strings.Repeat("a:\r\n", 8<<10)},
		"interim replies":            {repeat: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 64)},
		"a body without a length":    {start: ok + "\r\n", repeat: strings.Repeat("b", 32<<10)},
		"a chunked body":             {start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: strings.Repeat("1000\r\n"+strings.Repeat("b", 4096)+"\r\n", 8)},
		"a body that is too long":    {start: ok + "Content-Length: 1000000000\r\n\r\n", repeat: strings.Repeat("b", 32<<10)},
		"the trailer of a body":      {start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: strings.Repeat("X-A: b\r\n", 4<<10)},
	}
}

// listen returns the address of the upstream and a function that ends it.
func (f flood) listen() (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var open sync.WaitGroup
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Done()
				f.serve(conn)
			}()
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close(); open.Wait() }
}

func (f flood) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, f.start)
	if f.still {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	for err == nil {
		_, err = io.WriteString(conn, f.repeat)
		time.Sleep(f.pause)
	}
}

// heapPeak watches the heap until the returned function is called, which returns the most
// bytes in use.
func heapPeak() func() uint64 {
	runtime.GC()
	done, result := make(chan struct{}), make(chan uint64)
	go func() {
		var peak uint64
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(done); return <-result }
}

func request(address string) (core.Target, Request) {
	return core.Target{Name: address, Address: address, Service: "s", Lanes: 1},
		Request{Method: http.MethodGet, Target: "/", Host: "h"}
}

func accept(Response) error { return nil }

func TestRepliesWithoutEnd(t *testing.T) {
	Convey("A reply that repeats without end", t, func() {
		for name, upstream := range floods() {
			Convey(name, func() {
				address, end := upstream.listen()
				defer end()
				client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				target, request := request(address)
				peak := heapPeak()
				started := time.Now()
				_, err := client.Exchange(ctx, target, request, nil, accept)
				elapsed := time.Since(started)
				t.Logf("%s: %v, %d KB of heap", name, elapsed, peak()>>10)

				var failure *core.AttemptError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Kind, ShouldEqual, core.FailureBadReply)
				So(elapsed, ShouldBeLessThan, time.Second)
				So(client.lanesOf(target).idle, ShouldBeEmpty)
			})
		}
	})
}

func TestManyRepliesWithoutEnd(t *testing.T) {
	const connections = 300
	Convey("Three hundred upstreams at once that repeat without end", t, func() {
		for name, upstream := range floods() {
			Convey(name, func() {
				client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				address, end := upstream.listen()
				defer end()
				peak := heapPeak()
				var group sync.WaitGroup
				errs := make([]error, connections)
				for i := range connections {
					group.Go(func() {
						target, request := request(address)
						target.Name = string(rune('a' + i))
						_, errs[i] = client.Exchange(ctx, target, request, nil, accept)
					})
				}
				group.Wait()
				used := peak()
				t.Logf("%s: %d KB of heap", name, used>>10)
				So(used, ShouldBeLessThan, usualMemoryBytes)
				for _, err := range errs {
					var failure *core.AttemptError
					So(errors.As(err, &failure), ShouldBeTrue)
					So(failure.Kind, ShouldEqual, core.FailureBadReply)
				}
				So(client.memory.held(), ShouldEqual, 0)
			})
		}
	})
}

func TestLongBodiesAreNotAllocatedAhead(t *testing.T) {
	const connections = 100
	Convey("Upstreams that announce long bodies and send none cost no memory for them", t, func() {
		upstream := flood{start: "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", still: true}
		address, end := upstream.listen()
		defer end()
		client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		peak := heapPeak()
		var group sync.WaitGroup
		for i := range connections {
			group.Go(func() {
				target, request := request(address)
				target.Name = string(rune('a' + i))
				_, _ = client.Exchange(ctx, target, request, nil, accept)
			})
		}
		group.Wait()
		So(peak(), ShouldBeLessThan, 64<<20)
	})
}

func TestSlowRepliesWithoutEnd(t *testing.T) {
	Convey("A reply that drips without end is given up with the attempt's time", t, func() {
		for name, upstream := range map[string]flood{
			"in its head": {start: "HTTP/1.1 200 OK\r\nX-A: ", repeat: "a", pause: time.Millisecond},
			"in its body": {start: "HTTP/1.1 200 OK\r\n\r\n", repeat: "a", pause: time.Millisecond},
		} {
			Convey(name, func() {
				address, end := upstream.listen()
				defer end()
				client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				target, request := request(address)
				started := time.Now()
				_, err := client.Exchange(ctx, target, request, nil, accept)
				var failure *core.AttemptError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Kind, ShouldEqual, core.FailureTimeout)
				So(time.Since(started), ShouldBeLessThan, 300*time.Millisecond)
			})
		}
	})
}

func TestLargeSoundReplies(t *testing.T) {
	Convey("A sound reply of the greatest size is read whole, beside many floods", t, func() {
		body := strings.Repeat("b", core.MaxReplyBytes)
		server := serve(func(w http.ResponseWriter, _ SearchRequest) { _, _ = io.WriteString(w, body) })
		defer server.Close()
		client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
		_, request := request("h")
		response, err := client.Exchange(context.Background(), server.target(1), request, nil, accept)
		So(err, ShouldBeNil)
		So(len(response.Body), ShouldEqual, core.MaxReplyBytes)
		So(client.memory.held(), ShouldEqual, 0)
	})
	Convey("A small reply is read while others hold all memory for replies", t, func() {
		server := serve(func(w http.ResponseWriter, _ SearchRequest) { _, _ = io.WriteString(w, "b") })
		defer server.Close()
		client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
		So(client.memory.take(core.MaxHeldReplyBytes), ShouldBeTrue)
		_, request := request("h")
		response, err := client.Exchange(context.Background(), server.target(1), request, nil, accept)
		So(err, ShouldBeNil)
		So(string(response.Body), ShouldEqual, "b")
	})
}
