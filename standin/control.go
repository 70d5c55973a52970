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

// ledgerLine is one run, written before the run starts.
type ledgerLine struct {
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

// ledger appends runs to a file that outlives the process.
type ledger struct {
	mu   sync.Mutex
	file *os.File
}

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

func (l *ledger) add(line ledgerLine) {
	if l.file == nil {
		return
	}
	line.UnixMillis = time.Now().UnixMilli()
	raw, _ := json.Marshal(line)
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.file.Write(append(raw, '\n'))
}

// upstreamControl sets behaviours and shows counts.
func upstreamControl(standins map[string]*upstreamStandin) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/behaviour/{name}", func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		each(w, r, standins, func(u *upstreamStandin) error {
			u.mu.Lock()
			defer u.mu.Unlock()
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
		each(w, r, standins, func(u *upstreamStandin) error {
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
		each(w, r, standins, func(u *upstreamStandin) error {
			u.load(configuration)
			return nil
		})
	})
	mux.HandleFunc("GET /control/connections/{name}", func(w http.ResponseWriter, r *http.Request) {
		each(w, r, standins, func(u *upstreamStandin) error {
			open, most := u.connections.read()
			_, _ = fmt.Fprintf(w, "%s %d %d\n", u.name, open, most)
			return nil
		})
	})
	return mux
}

// each applies a change to the named upstream, or to all under the name "all".
func each(w http.ResponseWriter, r *http.Request, standins map[string]*upstreamStandin, apply func(*upstreamStandin) error) {
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

// connectionCount counts open connections and their peak.
type connectionCount struct {
	mu   sync.Mutex
	open int
	most int
}

func (c *connectionCount) observe(_ net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.most = max(c.most, c.open)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

func (c *connectionCount) read() (open, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.most
}

// slowListener makes each new connection cost time.
type slowListener struct {
	net.Listener
	cost time.Duration
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: connection, cost: l.cost}, nil
}

// slowConn delays its first read.
type slowConn struct {
	net.Conn
	once sync.Once
	cost time.Duration
}

// Read implements net.Conn.
func (c *slowConn) Read(buffer []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.cost) })
	return c.Conn.Read(buffer)
}
