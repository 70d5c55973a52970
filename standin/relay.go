package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
)

// relayStandin stands before all listeners of a cluster and passes connections
// on. It can cut zones off: connections that leave or enter them are reset, or
// go silent.
type relayStandin struct {
	// sources maps the IP number that a connection comes from to its zone.
	sources map[string]string

	mu          sync.Mutex
	cut         map[string]bool
	silent      bool
	changed     chan struct{}
	connections map[*relayed]struct{}
}

// relayed is a connection that is passed on between two zones.
type relayed struct {
	from, to net.Conn
	source   string
	target   string
}

func relayCommand() *cobra.Command {
	var control string
	var routes, sources []string
	command := &cobra.Command{
		Use:   "relay",
		Short: "Pass on connections, and cut zones off",
		RunE: func(*cobra.Command, []string) error {
			r := &relayStandin{
				sources:     map[string]string{},
				cut:         map[string]bool{},
				changed:     make(chan struct{}),
				connections: map[*relayed]struct{}{},
			}
			for _, source := range sources {
				ip, zone, _ := strings.Cut(source, "=")
				r.sources[ip] = zone
			}
			for _, route := range routes {
				if err := r.listen(route); err != nil {
					return err
				}
			}
			return (&http.Server{Addr: control, Handler: r.control(), ReadHeaderTimeout: time.Second}).ListenAndServe()
		},
	}
	command.Flags().StringVar(&control, "control", "", "address of the control interface")
	command.Flags().StringArrayVar(&sources, "source", nil, "IP=ZONE, repeated")
	command.Flags().StringArrayVar(&routes, "route", nil, "LISTEN=TARGET=ZONE, repeated")
	return command
}

func (r *relayStandin) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/{mode}", func(w http.ResponseWriter, q *http.Request) {
		zones := q.URL.Query()["zone"]
		switch q.PathValue("mode") {
		case "reset":
			r.setCut(zones, false)
		case "silent":
			r.setCut(zones, true)
		case "heal":
			r.setCut(nil, false)
		default:
			http.Error(w, "reset, silent or heal", http.StatusBadRequest)
		}
	})
	return mux
}

func (r *relayStandin) listen(route string) error {
	parts := strings.Split(route, "=")
	const fields = 3
	if len(parts) != fields {
		return fmt.Errorf("route %q: want LISTEN=TARGET=ZONE", route)
	}
	listener, err := net.Listen("tcp", parts[0])
	if err != nil {
		return err
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go r.pass(connection, parts[1], parts[2])
		}
	}()
	return nil
}

// blocked reports whether the two zones are cut from each other, and a channel
// that is closed when that may have changed.
func (r *relayStandin) blocked(source, target string) (cut, silent bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cut = source != target && (r.cut[source] || r.cut[target])
	return cut, r.silent, r.changed
}

func (r *relayStandin) pass(from net.Conn, address, target string) {
	host, _, _ := net.SplitHostPort(from.RemoteAddr().String())
	c := &relayed{from: from, source: r.sources[host], target: target}
	if !r.wait(c) {
		reset(from)
		return
	}
	to, err := net.Dial("tcp", address)
	if err != nil {
		reset(from)
		return
	}
	c.to = to
	r.mu.Lock()
	r.connections[c] = struct{}{}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go r.copy(c, to, from, &both)
	go r.copy(c, from, to, &both)
	both.Wait()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}

// wait returns true when bytes may pass, and false when the connection is to be
// reset. While the cut is silent it holds the bytes back.
func (r *relayStandin) wait(c *relayed) bool {
	cut, silent, changed := r.blocked(c.source, c.target)
	if !cut {
		return true
	}
	if silent {
		<-changed
	}
	return false
}

func (r *relayStandin) copy(c *relayed, to, from net.Conn, both *sync.WaitGroup) {
	defer both.Done()
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			reset(to)
			return
		}
		if !r.wait(c) {
			reset(c.from)
			reset(c.to)
			return
		}
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
			reset(from)
			return
		}
		if errors.Is(err, io.EOF) {
			closeWrite(to)
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (r *relayStandin) setCut(zones []string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = map[string]bool{}
	for _, zone := range zones {
		r.cut[zone] = true
	}
	r.silent = silent
	close(r.changed)
	r.changed = make(chan struct{})
	if silent {
		return
	}
	for c := range r.connections {
		if c.source != c.target && (r.cut[c.source] || r.cut[c.target]) {
			reset(c.from)
			reset(c.to)
		}
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
