package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards connections to an address. Its open connections can be made silent: they stay open, and
// nothing that is sent on them arrives any more.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open []*relayed
}

// relayed is a pair of connections.
type relayed struct {
	silent atomic.Bool
}

func newRelay() (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &relay{listener: listener}, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// forward forwards connections to the target until the process ends.
func (r *relay) forward(target string) {
	r.target = target
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.pair(conn)
		}
	}()
}

func (r *relay) pair(conn net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return
	}
	p := &relayed{}
	r.mu.Lock()
	r.open = append(r.open, p)
	r.mu.Unlock()
	go p.copy(far, conn)
	p.copy(conn, far)
}

// copy copies until one end closes. On a silent pair, it drops what it reads, also the end.
func (p *relayed) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if p.silent.Load() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if count > 0 {
			_, _ = to.Write(buffer[:count])
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes all open connections silent for good, and returns how many these are.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, p := range r.open {
		if !p.silent.Swap(true) {
			count++
		}
	}
	return count
}
