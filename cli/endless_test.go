package cli

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"acaciavane/core"
	"acaciavane/io/caller"
	"acaciavane/standin/hostile"
)

// commandTimeout is the timeout of the commands in these tests.
const commandTimeout = 100 * time.Millisecond

// TestEndlessRepliesToDump guards against a state that is held, or awaited, as long as it is sent.
func TestEndlessRepliesToDump(t *testing.T) {
	const maxHeap = 64 << 20
	for name, reply := range hostile.EndlessReplies() {
		t.Run(name, func(t *testing.T) {
			server := reply.Listen()
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			peak := hostile.HeapPeak()
			if err := dump(ctx, io.Discard, dumpOptions{address: server.Address, timeout: commandTimeout}); err == nil || ctx.Err() != nil {
				t.Errorf("got %v", err)
			}
			if used := peak(); used > maxHeap {
				t.Errorf("%d MB of heap, at most %d allowed", used>>20, maxHeap>>20)
			}
		})
	}
}

// TestSlowEndlessRepliesToCommands guards against commands that last as long as an instance sends.
func TestSlowEndlessRepliesToCommands(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var commands sync.WaitGroup
	for name, reply := range hostile.EndlessReplies() {
		reply.Pause = 10 * time.Millisecond
		commands.Go(func() {
			server := reply.Listen()
			defer server.Close()
			if err := dump(ctx, io.Discard, dumpOptions{address: server.Address, timeout: commandTimeout}); err == nil {
				t.Errorf("%s: the dump succeeded", name)
			}
			var failure *exitError
			err := query(ctx, io.Discard, queryOptions{address: server.Address, timeout: commandTimeout})
			if !errors.As(err, &failure) || failure.code != ExitUnknown {
				t.Errorf("%s: the query ended with %v", name, err)
			}
		})
	}
	commands.Wait()
	if ctx.Err() != nil {
		t.Error("a command was ended only by its caller")
	}
}

// TestEndlessHeadsOfAnswers guards against heads of answers that are read far beyond those of an
// instance.
func TestEndlessHeadsOfAnswers(t *testing.T) {
	const maxSentBytes = 8 << 20
	for _, name := range []string{"a status line", "one header line", "header fields", "interim replies"} {
		t.Run(name, func(t *testing.T) {
			server := hostile.EndlessReplies()[name].Listen()
			client := caller.NewClient(server.Address)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			if _, err := client.Query(ctx, caller.RequestBody{}); !errors.Is(err, caller.ErrNoAnswer) {
				t.Errorf("got %v", err)
			}
			client.Close()
			server.Close()
			sent := server.Sent()
			t.Logf("%d KB sent", sent>>10)
			if sent > maxSentBytes {
				t.Errorf("%d MB sent, at most %d allowed", sent>>20, maxSentBytes>>20)
			}
		})
	}
}

// TestQueryAlwaysEnds guards against a query without a timeout that waits without end.
func TestQueryAlwaysEnds(t *testing.T) {
	for timeout, want := range map[time.Duration]time.Duration{
		0: 2 * core.MaxTimeoutMillis.Duration(), time.Second: 2 * time.Second,
	} {
		if got := answerTimeout(timeout); got != want {
			t.Errorf("%v for a timeout of %v, want %v", got, timeout, want)
		}
	}
}
