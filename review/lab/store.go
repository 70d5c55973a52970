//go:build reviewlab

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeItem is one item of the store, or one event of a watch.
type storeItem struct {
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	Revision        uint64 `json:"revision"`
	CreatedRevision uint64 `json:"created-revision,omitempty"`
	Compacted       bool   `json:"compacted,omitempty"`
}

// store plays the platform's metadata store (PROTOCOL.md).
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	// floor is the revision up to which the history is discarded.
	floor   uint64
	changed chan struct{}
	// times holds when each event was acknowledged.
	times []time.Time
}

// retention is history-retention-s: how long the store keeps its history.
const retention = 20 * time.Second

// expire discards the history that is older than the retention. The caller holds the lock.
func (s *store) expire() {
	old := 0
	for old < len(s.times) && time.Since(s.times[old]) > retention {
		s.floor = s.events[old].Revision
		old++
	}
	s.events, s.times = s.events[old:], s.times[old:]
}

// pageItems is how many items a page of kv-range holds.
const pageItems = 50

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, revision: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s.handler()) }()
	return s, nil
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	return mux
}

// gate is an address of the store for one machine, which the store turns away at times.
type gate struct {
	listener net.Listener
	closed   atomic.Bool
}

func (s *store) newGate() (*gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: listener}
	store := s.handler()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if g.closed.Load() {
				reply(w, http.StatusTooManyRequests, map[string]any{})
				return
			}
			store.ServeHTTP(w, r)
		}))
	}()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a value, or removes the key if value is nil. It returns once this is
// acknowledged.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if value == nil {
		delete(s.items, key)
		s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Compacted: true})
	} else {
		created := s.revision
		if known, ok := s.items[key]; ok {
			created = known.CreatedRevision
		}
		s.items[key] = storeItem{Key: key, Value: value, Revision: s.revision, CreatedRevision: created}
		s.events = append(s.events, s.items[key])
	}
	s.times = append(s.times, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at-revision": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		AtRevision uint64 `json:"at-revision"`
	}{item, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "at-revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []storeItem{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("path-prefix")) {
				events = append(events, event)
			}
		}
		revision, gone, changed := s.revision, after < s.floor, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			reply(w, http.StatusGone, map[string]any{"at-revision": revision})
			return
		case len(events) > 0:
			reply(w, http.StatusOK, map[string]any{"events": events, "at-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "at-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
