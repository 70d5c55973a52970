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

// instanceMemoryBytes is the memory of a typical instance in the users' deployments.
const instanceMemoryBytes = 184 << 20

// endlessUpstream is an upstream that answers each request with a prefix and then repeats the
// same bytes until the connection breaks.
type endlessUpstream struct {
	prefix string
	repeat string
	// pause is the time between two writes.
	pause time.Duration
	// stalls makes the upstream send nothing after the prefix.
	stalls bool
}

// endlessReplies returns upstreams whose replies never end, by the part that they repeat.
func endlessReplies() map[string]endlessUpstream {
	const ok = "HTTP/1.1 200 OK\r\n"
	return map[string]endlessUpstream{
		"one header line":              {prefix: ok + "X-A: ", repeat: strings.Repeat("a", 32<<10)},
		"header fields":                {prefix: ok, repeat: strings.Repeat("X-A: b\r\n", 4<<10)},
		"header fields of a few bytes": {prefix: ok, repeat: strings.Repeat("a:\r\n", 8<<10)},
		"interim replies":              {repeat: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 64)},
		"a body without a length":      {prefix: ok + "\r\n", repeat: strings.Repeat("b", 32<<10)},
		"a chunked body":               {prefix: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: strings.Repeat("1000\r\n"+strings.Repeat("b", 4096)+"\r\n", 8)},
		"a body that is too long":      {prefix: ok + "Content-Length: 1000000000\r\n\r\n", repeat: strings.Repeat("b", 32<<10)},
		"the trailer of a body":        {prefix: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: strings.Repeat("X-A: b\r\n", 4<<10)},
	}
}

// listen starts the upstream. It returns its address and a function that stops it.
func (e endlessUpstream) listen() (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var connections sync.WaitGroup
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer connections.Done()
				e.serve(conn)
			}()
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close(); connections.Wait() }
}

// serve reads one request from the connection and sends the reply.
func (e endlessUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, e.prefix)
	if e.stalls {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	for err == nil {
		_, err = io.WriteString(conn, e.repeat)
		time.Sleep(e.pause)
	}
}

// heapPeak samples the heap until the returned function is called. That function returns the
// largest number of bytes in use.
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

// getRequest returns a GET request and a target with one connection to the address.
func getRequest(address string) (core.Target, Request) {
	return core.Target{Name: address, Address: address, Service: "s", MaxConnections: 1},
		Request{Method: http.MethodGet, Target: "/", Host: "h"}
}

// accept is a check that accepts every response.
func accept(Response) error { return nil }

func TestEndlessReplies(t *testing.T) {
	Convey("A reply is refused as bad if it endlessly repeats", t, func() {
		for name, upstream := range endlessReplies() {
			Convey(name, func() {
				address, stop := upstream.listen()
				defer stop()
				client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				target, request := getRequest(address)
				peak := heapPeak()
				started := time.Now()
				_, err := client.Exchange(ctx, target, request, nil, accept)
				elapsed := time.Since(started)
				t.Logf("%s: %v, %d KB of heap", name, elapsed, peak()>>10)

				var failure *core.AttemptError
				So(errors.As(err, &failure), ShouldBeTrue)
				So(failure.Kind, ShouldEqual, core.FailureBadReply)
				So(elapsed, ShouldBeLessThan, time.Second)
				So(client.poolFor(target).idle, ShouldBeEmpty)
			})
		}
	})
}

func TestManyEndlessReplies(t *testing.T) {
	const connections = 300
	Convey("The replies of 300 upstreams at once fit into the memory of an instance if they endlessly repeat", t, func() {
		for name, upstream := range endlessReplies() {
			Convey(name, func() {
				client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				address, stop := upstream.listen()
				defer stop()
				peak := heapPeak()
				var group sync.WaitGroup
				errs := make([]error, connections)
				for i := range connections {
					group.Go(func() {
						target, request := getRequest(address)
						target.Name = string(rune('a' + i))
						_, errs[i] = client.Exchange(ctx, target, request, nil, accept)
					})
				}
				group.Wait()
				used := peak()
				t.Logf("%s: %d KB of heap", name, used>>10)
				So(used, ShouldBeLessThan, instanceMemoryBytes)
				for _, err := range errs {
					var failure *core.AttemptError
					So(errors.As(err, &failure), ShouldBeTrue)
					So(failure.Kind, ShouldEqual, core.FailureBadReply)
				}
				So(client.budget.reserved(), ShouldEqual, 0)
			})
		}
	})
}

func TestAnnouncedBodiesAreNotPreallocated(t *testing.T) {
	const connections = 100
	Convey("No memory is allocated for bodies that upstreams announce but do not send", t, func() {
		upstream := endlessUpstream{prefix: "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", stalls: true}
		address, stop := upstream.listen()
		defer stop()
		client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		peak := heapPeak()
		var group sync.WaitGroup
		for i := range connections {
			group.Go(func() {
				target, request := getRequest(address)
				target.Name = string(rune('a' + i))
				_, _ = client.Exchange(ctx, target, request, nil, accept)
			})
		}
		group.Wait()
		So(peak(), ShouldBeLessThan, 64<<20)
	})
}

func TestSlowEndlessReplies(t *testing.T) {
	Convey("A slow reply is abandoned at the deadline of the attempt if it repeats bytes", t, func() {
		for name, upstream := range map[string]endlessUpstream{
			"in its head": {prefix: "HTTP/1.1 200 OK\r\nX-A: ", repeat: "a", pause: time.Millisecond},
			"in its body": {prefix: "HTTP/1.1 200 OK\r\n\r\n", repeat: "a", pause: time.Millisecond},
		} {
			Convey(name, func() {
				address, stop := upstream.listen()
				defer stop()
				client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				target, request := getRequest(address)
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

func TestReplyMemoryForValidReplies(t *testing.T) {
	Convey("A reply of the maximum size is read completely", t, func() {
		body := strings.Repeat("b", core.MaxReplyBytes)
		server := newUpstreamServer(func(w http.ResponseWriter, _ SearchRequest) { _, _ = io.WriteString(w, body) })
		defer server.Close()
		client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
		_, request := getRequest("h")
		response, err := client.Exchange(context.Background(), server.target(1), request, nil, accept)
		So(err, ShouldBeNil)
		So(len(response.Body), ShouldEqual, core.MaxReplyBytes)
		So(client.budget.reserved(), ShouldEqual, 0)
	})
	Convey("A small reply is read while others have reserved the whole reply budget", t, func() {
		server := newUpstreamServer(func(w http.ResponseWriter, _ SearchRequest) { _, _ = io.WriteString(w, "b") })
		defer server.Close()
		client := New(core.NewClock(), &net.Dialer{}, core.NewCounters())
		So(client.budget.reserve(core.MaxHeldReplyBytes), ShouldBeTrue)
		_, request := getRequest("h")
		response, err := client.Exchange(context.Background(), server.target(1), request, nil, accept)
		So(err, ShouldBeNil)
		So(string(response.Body), ShouldEqual, "b")
	})
}
