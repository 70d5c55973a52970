package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// firstRevision is the revision of an empty store.
const firstRevision = 100

// storeItem is an item of the store or its deletion.
type storeItem struct {
	Key             string `json:"key"`
	Value           []byte `json:"value,omitempty"`
	Revision        uint64 `json:"revision"`
	CreatedRevision uint64 `json:"created-revision,omitempty"`
	LeaseID         uint64 `json:"lease-id"`
	Deleted         bool   `json:"compacted,omitempty"`
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

// newStore starts a store.
func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: firstRevision, items: map[string]storeItem{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	return s, nil
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if known, ok := s.items[key]; ok {
		created = known.CreatedRevision
	}
	entry := storeItem{Key: key, Value: raw, Revision: s.revision, CreatedRevision: created}
	s.items[key] = entry
	s.recordLocked(entry)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.recordLocked(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) recordLocked(entry storeItem) {
	s.history = append(s.history, entry)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, query.Get("key"))
	case "/kv-range":
		s.serveRange(w, query.Get("path-prefix"), query.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		s.serveWatch(w, r, query.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	entry, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		AtRevision uint64 `json:"at-revision"`
	}{entry, revision})
}

// serveRange returns one page with all items.
func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	items := []storeItem{}
	s.mu.Lock()
	for key, entry := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, entry)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "has-more": false, "at-revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		events, revision, changed := s.since(prefix, after)
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": []storeItem{}, "at-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after uint64) ([]storeItem, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []storeItem
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
