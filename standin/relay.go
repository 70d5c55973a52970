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

// relayStandin is a TCP proxy in front of the upstreams, the platform and the peer
// addresses of a cluster. It simulates network partitions: connections between an
// isolated zone and another zone are reset, or their data is held back. A connection
// whose data was held back is reset when the partition changes.
type relayStandin struct {
	// zones maps the source IP address of a connection to its zone.
	zones map[string]string

	mu sync.Mutex
	// isolated holds the zones that are partitioned from all other zones.
	isolated map[string]bool
	// silent makes the relay hold back the data of connections across the partition,
	// instead of resetting the connections.
	silent bool
	// changed is closed and replaced when isolated or silent changes.
	changed     chan struct{}
	connections map[*proxiedConn]struct{}
}

// proxiedConn is a client connection and the connection to the listener that it is
// forwarded to.
type proxiedConn struct {
	client, target net.Conn
	sourceZone     string
	targetZone     string
}

func relayCommand() *cobra.Command {
	var control string
	var routes, sources []string
	command := &cobra.Command{
		Use:   "relay",
		Short: "Forward connections and simulate network partitions",
		RunE: func(*cobra.Command, []string) error {
			r := &relayStandin{
				zones:       map[string]string{},
				isolated:    map[string]bool{},
				changed:     make(chan struct{}),
				connections: map[*proxiedConn]struct{}{},
			}
			for _, source := range sources {
				ip, zone, _ := strings.Cut(source, "=")
				r.zones[ip] = zone
			}
			for _, route := range routes {
				if err := r.listen(route); err != nil {
					return err
				}
			}
			return (&http.Server{Addr: control, Handler: r.controlHandler(), ReadHeaderTimeout: time.Second}).ListenAndServe()
		},
	}
	command.Flags().StringVar(&control, "control", "", "address of the control interface")
	command.Flags().StringArrayVar(&sources, "source", nil, "zone of a source IP address, as IP=ZONE; can be repeated")
	command.Flags().StringArrayVar(&routes, "route", nil, "address to listen on, target address and its zone, as LISTEN=TARGET=ZONE; can be repeated")
	return command
}

func (r *relayStandin) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /control/{mode}", func(w http.ResponseWriter, request *http.Request) {
		zones := request.URL.Query()["zone"]
		switch request.PathValue("mode") {
		case "reset":
			r.setPartition(zones, false)
		case "silent":
			r.setPartition(zones, true)
		case "heal":
			r.setPartition(nil, false)
		default:
			http.Error(w, "reset, silent or heal", http.StatusBadRequest)
		}
	})
	return mux
}

// listen accepts connections on the address of a route and forwards them.
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
			go r.forward(connection, parts[1], parts[2])
		}
	}()
	return nil
}

// partitioned reports whether the two zones are partitioned from each other, and
// whether the partition is silent. changed is closed when the partition changes.
func (r *relayStandin) partitioned(sourceZone, targetZone string) (blocked, silent bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	blocked = sourceZone != targetZone && (r.isolated[sourceZone] || r.isolated[targetZone])
	return blocked, r.silent, r.changed
}

// forward connects to address and copies data in both directions until both sides
// have closed. It resets the connections if the zones are partitioned.
func (r *relayStandin) forward(client net.Conn, address, targetZone string) {
	host, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	c := &proxiedConn{client: client, sourceZone: r.zones[host], targetZone: targetZone}
	if !r.admit(c) {
		reset(client)
		return
	}
	target, err := net.Dial("tcp", address)
	if err != nil {
		reset(client)
		return
	}
	c.target = target
	r.mu.Lock()
	r.connections[c] = struct{}{}
	r.mu.Unlock()
	var copies sync.WaitGroup
	copies.Add(2)
	go r.copyData(c, target, client, &copies)
	go r.copyData(c, client, target, &copies)
	copies.Wait()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
	_ = client.Close()
	_ = target.Close()
}

// admit reports whether data may be forwarded; otherwise the connection must be
// reset. In a silent partition it blocks until the partition changes, and then
// returns false.
func (r *relayStandin) admit(c *proxiedConn) bool {
	blocked, silent, changed := r.partitioned(c.sourceZone, c.targetZone)
	if !blocked {
		return true
	}
	if silent {
		<-changed
	}
	return false
}

// copyData copies from src to dst until src ends, a connection fails or the zones
// are partitioned.
func (r *relayStandin) copyData(c *proxiedConn, dst, src net.Conn, copies *sync.WaitGroup) {
	defer copies.Done()
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	for {
		count, err := src.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			reset(dst)
			return
		}
		if !r.admit(c) {
			reset(c.client)
			reset(c.target)
			return
		}
		if _, writeErr := dst.Write(buffer[:count]); writeErr != nil {
			reset(src)
			return
		}
		if errors.Is(err, io.EOF) {
			closeWrite(dst)
			return
		}
	}
}

// closeWrite closes the sending direction of a TCP connection.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// setPartition isolates the zones from all other zones, and ends any earlier
// partition. Unless the new one is silent, it resets the connections across it.
func (r *relayStandin) setPartition(zones []string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated = map[string]bool{}
	for _, zone := range zones {
		r.isolated[zone] = true
	}
	r.silent = silent
	close(r.changed)
	r.changed = make(chan struct{})
	if silent {
		return
	}
	for c := range r.connections {
		if c.sourceZone != c.targetZone && (r.isolated[c.sourceZone] || r.isolated[c.targetZone]) {
			reset(c.client)
			reset(c.target)
		}
	}
}

// reset closes a connection so that the other side receives a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
