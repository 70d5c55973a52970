package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store.
type storeItem struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created-revision,omitempty"`
	Lease    int    `json:"lease-id"`
}

// store is a stand-in for the platform's store, as PROTOCOL.md describes it. It keeps its whole
// history.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.keyRange)
	mux.HandleFunc("GET /kv-watch", s.watch)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// put writes a value, which is encoded as JSON.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(raw), Revision: s.revision, Created: s.revision}
	if known, ok := s.items[key]; ok {
		item.Created = known.Created
	}
	s.items[key] = item
	s.record(item)
}

// record adds an event to the history. The caller holds the lock.
func (s *store) record(event storeItem) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, value any) {
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		http.Error(w, "{}", http.StatusNotFound)
		return
	}
	reply(w, struct {
		storeItem
		At uint64 `json:"at-revision"`
	}{item, at})
}

func (s *store) keyRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
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
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	reply(w, map[string]any{"items": items, "has-more": more, "at-revision": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path-prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at-revision": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": events, "at-revision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
