package configservice

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"acaciavane/core"
	"acaciavane/standin/hostile"
)

const (
	// maxHeapBytes bounds the heap while one value is read into a growing buffer.
	maxHeapBytes = 16 * core.MaxPublishedBytes
	// maxSentBytes bounds what a service can send of one reply: the largest value as chunks with the
	// longest extensions, and the kernel's buffers.
	maxSentBytes = 32 * core.MaxPublishedBytes
)

// TestEndlessReplies guards against a reply of the configuration service that is held or read as long
// as the service sends.
func TestEndlessReplies(t *testing.T) {
	for name, reply := range hostile.EndlessReplies() {
		t.Run(name, func(t *testing.T) {
			server := reply.Listen()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			peak := hostile.HeapPeak()
			_, err := New(server.Address, &net.Dialer{}).Read(ctx, core.KeyConfiguration, 0, 0)
			used := peak()
			server.Close()
			t.Logf("%d KB of heap, %d KB sent: %v", used>>10, server.Sent()>>10, err)
			if !errors.Is(err, core.ErrPlatformUnavailable) || ctx.Err() != nil {
				t.Errorf("got %v", err)
			}
			if used > maxHeapBytes {
				t.Errorf("%d MB of heap, at most %d allowed", used>>20, maxHeapBytes>>20)
			}
			if sent := server.Sent(); sent > maxSentBytes {
				t.Errorf("%d MB sent, at most %d allowed", sent>>20, maxSentBytes>>20)
			}
		})
	}
}

// TestSlowEndlessReplies guards against a read that lasts as long as the service sends.
func TestSlowEndlessReplies(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var reads sync.WaitGroup
	for name, reply := range hostile.EndlessReplies() {
		reply.Pause = 50 * time.Millisecond
		reads.Go(func() {
			server := reply.Listen()
			defer server.Close()
			if _, err := New(server.Address, &net.Dialer{}).Read(ctx, core.KeyConfiguration, 0, 0); !errors.Is(err, core.ErrPlatformUnavailable) {
				t.Errorf("%s: got %v", name, err)
			}
		})
	}
	reads.Wait()
	if ctx.Err() != nil {
		t.Error("a read was ended only by its caller")
	}
}

// TestDocumentsOfManyItems guards against a published value that is small and becomes large when it is
// decoded, or when its errors are reported.
func TestDocumentsOfManyItems(t *testing.T) {
	const maxDocumentHeap = 64 * core.MaxPublishedBytes
	list := func(start string) []byte {
		return []byte(start + strings.Repeat("{},", (core.MaxPublishedBytes-len(start)-8)/3) + "{}]}")
	}
	documents := map[string]func() error{
		"services": func() error {
			_, err := NewDecoder().Configuration(list(`{"version":3,"deployment":"d","maxInstances":4,"services":[`))
			return err
		},
		"instances": func() error {
			_, err := NewDecoder().InstanceList(list(`{"revision":3,"instances":[`))
			return err
		},
	}
	for name, decode := range documents {
		t.Run(name, func(t *testing.T) {
			peak := hostile.HeapPeak()
			err := decode()
			if !errors.Is(err, ErrInvalidDocument) {
				t.Error("the document was accepted")
			}
			used := peak()
			t.Logf("%d KB of heap", used>>10)
			if used > maxDocumentHeap {
				t.Errorf("%d MB of heap, at most %d allowed", used>>20, maxDocumentHeap>>20)
			}
			if err != nil && len(err.Error()) > core.MaxPublishedBytes {
				t.Errorf("an error of %d bytes", len(err.Error()))
			}
		})
	}
}
