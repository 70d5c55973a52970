package main

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"
)

// platformStandin simulates the platform. It holds published values in memory and
// serves reads and long-poll watches.
type platformStandin struct {
	mu     sync.Mutex
	values map[string]platformValue
	// stale holds the values to serve instead of values. It is nil unless the mode is
	// "stale", or "down" after "stale".
	stale map[string]platformValue
	// changed is closed and replaced when a value or the mode changes.
	changed chan struct{}
	down    atomic.Bool
	reads   atomic.Int64
}

type platformValue struct {
	raw      []byte
	revision uint64
}

func platformCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Serve published values from memory",
		RunE: func(*cobra.Command, []string) error {
			p := &platformStandin{values: map[string]platformValue{}, changed: make(chan struct{})}
			return (&http.Server{Addr: address, Handler: p.handler(), ReadHeaderTimeout: time.Second}).ListenAndServe()
		},
	}
	command.Flags().StringVar(&address, "address", "", "address to listen on")
	return command
}

func (p *platformStandin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key}", p.handleRead)
	mux.HandleFunc("PUT /control/values/{key}", p.handlePublish)
	mux.HandleFunc("PUT /control/mode/{mode}", p.handleSetMode)
	mux.HandleFunc("GET /control/reads", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strconv.FormatInt(p.reads.Load(), 10))
	})
	return mux
}

// handleRead returns a value. If the query has a waitMillis other than 0 and the
// revision still equals the one in after, it waits up to waitMillis for a newer
// revision, and then replies with 304 Not Modified.
func (p *platformStandin) handleRead(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if p.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		value, changed := p.lookup(r.PathValue("key"))
		if value.revision != after || wait == 0 {
			writeValue(w, value, after)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeValue writes a value with its revision, 304 Not Modified if the revision
// equals after, or 404 Not Found if nothing has been published.
func writeValue(w http.ResponseWriter, value platformValue, after uint64) {
	switch value.revision {
	case 0:
		http.Error(w, "no such value", http.StatusNotFound)
	case after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Platform-Revision", strconv.FormatUint(value.revision, 10))
		_, _ = w.Write(value.raw)
	}
}

// lookup returns the value to serve, and a channel that is closed at the next
// change.
func (p *platformStandin) lookup(key string) (platformValue, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale != nil {
		return p.stale[key], p.changed
	}
	return p.values[key], p.changed
}

func (p *platformStandin) handlePublish(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	p.values[key] = platformValue{raw: raw, revision: p.values[key].revision + 1}
	p.notifyWatchers()
}

// handleSetMode sets the mode: "up", "down" or "stale". In the mode "stale" the
// platform serves the values that it had when the mode was set.
func (p *platformStandin) handleSetMode(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch r.PathValue("mode") {
	case "up":
		p.down.Store(false)
		p.stale = nil
	case "down":
		p.down.Store(true)
	case "stale":
		p.down.Store(false)
		p.stale = map[string]platformValue{}
		for key, value := range p.values {
			p.stale[key] = value
		}
	default:
		http.Error(w, "up, down or stale", http.StatusBadRequest)
	}
	p.notifyWatchers()
}

// notifyWatchers wakes up all waiting reads. The caller must hold mu.
func (p *platformStandin) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}
