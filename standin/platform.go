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

// platformStandin holds published values in memory and answers reads and watches.
type platformStandin struct {
	mu      sync.Mutex
	values  map[string]platformValue
	stale   map[string]platformValue
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
		Short: "Hold published values",
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
	mux.HandleFunc("GET /v1/values/{key}", p.read)
	mux.HandleFunc("PUT /control/values/{key}", p.publish)
	mux.HandleFunc("PUT /control/mode/{mode}", p.setMode)
	mux.HandleFunc("GET /control/reads", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strconv.FormatInt(p.reads.Load(), 10))
	})
	return mux
}

// read answers at once, or when the revision differs from the one in after.
func (p *platformStandin) read(w http.ResponseWriter, r *http.Request) {
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
			reply(w, value, after)
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

func reply(w http.ResponseWriter, value platformValue, after uint64) {
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

func (p *platformStandin) lookup(key string) (platformValue, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale != nil {
		return p.stale[key], p.changed
	}
	return p.values[key], p.changed
}

func (p *platformStandin) publish(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	p.values[key] = platformValue{raw: raw, revision: p.values[key].revision + 1}
	p.wake()
}

// setMode makes the platform up, down, or stale: it then answers with the
// values of the moment when it became so.
func (p *platformStandin) setMode(w http.ResponseWriter, r *http.Request) {
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
	p.wake()
}

func (p *platformStandin) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
