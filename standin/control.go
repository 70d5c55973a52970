package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"acaciavane/io/configservice"
)

// ledgerEntry records one attempt that an upstream runs. It is written before
// the run starts.
type ledgerEntry struct {
	UnixMillis  int64  `json:"unixMillis"`
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	AttemptID   string `json:"attemptId"`
	QueryID     string `json:"queryId"`
	Kind        string `json:"kind"`
	Key         string `json:"key,omitempty"`
	OrderID     string `json:"orderId,omitempty"`
	Body        string `json:"body,omitempty"`
}

// ledger appends entries to a file, as one JSON object per line. The file stays
// after the process has ended.
type ledger struct {
	mu   sync.Mutex
	file *os.File
}

// openLedger opens the ledger file for appending. With an empty name, the ledger
// discards its entries.
func openLedger(name string) (*ledger, error) {
	if name == "" {
		return &ledger{}, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &ledger{file: file}, nil
}

func (l *ledger) add(entry ledgerEntry) {
	if l.file == nil {
		return
	}
	entry.UnixMillis = time.Now().UnixMilli()
	raw, _ := json.Marshal(entry)
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.file.Write(append(raw, '\n'))
}

// newControlHandler returns the handler of the control interface. It changes the
// behaviour, the served snapshots and the configuration of upstreams, and reports
// their connection counts.
func newControlHandler(standins map[string]*upstreamStandin) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/behaviour/{name}", func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		applyByName(w, r, standins, func(u *upstreamStandin) error {
			u.mu.Lock()
			defer u.mu.Unlock()
			// Fields that the request omits are reset, except the state.
			next := behaviour{State: u.behaviour.State}
			if err := json.Unmarshal(raw, &next); err != nil {
				return err
			}
			u.behaviour = next
			return nil
		})
	})
	mux.HandleFunc("PUT /control/snapshot/{name}/{collection}/{snapshot}/{served}", func(w http.ResponseWriter, r *http.Request) {
		snapshot, _ := strconv.ParseUint(r.PathValue("snapshot"), 10, 64)
		applyByName(w, r, standins, func(u *upstreamStandin) error {
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.snapshots[r.PathValue("collection")] != nil {
				u.snapshots[r.PathValue("collection")][snapshot] = r.PathValue("served") == "true"
			}
			return nil
		})
	})
	mux.HandleFunc("PUT /control/configuration/{name}", func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		configuration, err := configservice.NewDecoder().Configuration(raw)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		applyByName(w, r, standins, func(u *upstreamStandin) error {
			u.loadConfiguration(configuration)
			return nil
		})
	})
	mux.HandleFunc("GET /control/connections/{name}", func(w http.ResponseWriter, r *http.Request) {
		applyByName(w, r, standins, func(u *upstreamStandin) error {
			open, peak := u.connections.counts()
			_, _ = fmt.Fprintf(w, "%s %d %d\n", u.name, open, peak)
			return nil
		})
	})
	return mux
}

// applyByName calls apply for the upstream that the request path names, or for all
// upstreams if that name is "all".
func applyByName(w http.ResponseWriter, r *http.Request, standins map[string]*upstreamStandin, apply func(*upstreamStandin) error) {
	name := r.PathValue("name")
	found := false
	for _, u := range standins {
		if name != "all" && name != u.name {
			continue
		}
		found = true
		if err := apply(u); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if !found {
		http.Error(w, "no such upstream", http.StatusNotFound)
	}
}

// delayedListener delays each new connection, to simulate the cost of opening it.
type delayedListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l delayedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{Conn: connection, delay: l.delay}, nil
}

// delayedConn waits for delay before its first read.
type delayedConn struct {
	net.Conn
	once  sync.Once
	delay time.Duration
}

// Read implements net.Conn.
func (c *delayedConn) Read(buffer []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(buffer)
}
