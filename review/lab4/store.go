package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store, or in a watch the event of its change.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"revision"`
	Created uint64 `json:"created-revision,omitempty"`
	Lease   int64  `json:"lease-id"`
	Gone    bool   `json:"compacted,omitempty"`
}

// storeStandin is the platform's store in memory, without disruptions.
type storeStandin struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
}

func newStore() *storeStandin {
	return &storeStandin{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes a value. The return is the acknowledgement.
func (s *storeStandin) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: raw, Rev: s.revision, Created: s.revision}
	if known, ok := s.items[key]; ok {
		item.Created = known.Created
	}
	s.items[key] = item
	s.events = append(s.events, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeStandin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	return mux
}

func (s *storeStandin) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		storeItem
		At uint64 `json:"at-revision"`
	}{item, at})
}

func (s *storeStandin) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "has-more": false, "at-revision": at})
}

func (s *storeStandin) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		events, at, changed := s.since(after, query.Get("path-prefix"))
		if len(events) > 0 || !waiting {
			writeJSON(w, map[string]any{"events": events, "at-revision": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *storeStandin) since(after uint64, prefix string) ([]storeItem, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []storeItem{}
	for _, event := range s.events {
		if event.Rev > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
