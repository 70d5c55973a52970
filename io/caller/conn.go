package caller

import (
	"context"
	"net"
	"net/http"

	"acaciavane/core"
)

const (
	// headMemoryFactor is how many bytes of memory each byte of a head is assumed to take while
	// it is read. Even a header field of a few bytes takes a map entry, a key and a value.
	headMemoryFactor = 16
	// unchargedHeadBytes is how much of a head is covered by the charge of its connection.
	unchargedHeadBytes = 2 << 10
	// fieldMemory is what a header field is assumed to take beside its text once it is parsed.
	fieldMemory = 128
	// writePieceBytes is the size of the pieces in which an answer is written. The end of each
	// piece counts as progress.
	writePieceBytes = 64 << 10
	// socketBufferBytes is the size of the kernel's buffers of a connection in each direction. A
	// body of 1 MiB takes less than 40 ms with it at a round trip time of 3 ms.
	socketBufferBytes = 128 << 10
)

// Listener accepts connections within a budget and charges them for what they make the process
// hold.
type Listener struct {
	net.Listener
	budget *core.ConnectionBudget
	// smallBuffers limits the kernel's buffers of each connection.
	smallBuffers bool
	closed       context.Context
	end          context.CancelFunc
}

// NewListener returns a listener for http.Server.Serve. The server must use Observe as its
// ConnState, ConnContext as its ConnContext, and a handler from Charged.
func NewListener(listener net.Listener, budget *core.ConnectionBudget, smallBuffers bool) *Listener {
	closed, end := context.WithCancel(context.Background())
	return &Listener{Listener: listener, budget: budget, smallBuffers: smallBuffers, closed: closed, end: end}
}

// Accept implements net.Listener. It waits until the budget admits the connection. Further
// connections wait in the kernel's queue.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	account, err := l.budget.Open(l.closed, func() { _ = raw.Close() })
	if err != nil {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	if tcp, ok := raw.(*net.TCPConn); ok && l.smallBuffers {
		_ = tcp.SetReadBuffer(socketBufferBytes)
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
	return &chargedConn{Conn: raw, account: account}, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.end()
	return l.Listener.Close()
}

// chargedConn is a connection with an account of a budget.
type chargedConn struct {
	net.Conn
	account *core.ConnectionAccount
	// head follows the head that is being read. Only one goroutine of http.Server reads at a time.
	head headScanner
}

// Read implements net.Conn.
func (c *chargedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		if chargeErr := c.recordRead(buffer[:count]); chargeErr != nil {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: chargeErr}
		}
	}
	return count, err
}

// recordRead records progress, and charges for a head that is being read.
func (c *chargedConn) recordRead(data []byte) error {
	defer c.account.Moved(len(data))
	switch c.account.Phase() {
	case core.PhaseIdle:
		c.head = headScanner{}
		c.account.Enter(core.PhaseHead)
	case core.PhaseHead:
	default:
		return nil
	}
	count := c.head.scan(data)
	charged := min(count, c.head.bytes-unchargedHeadBytes)
	if charged <= 0 {
		return nil
	}
	return c.account.Charge(context.Background(), int64(charged)*headMemoryFactor)
}

// headScanner tells the bytes of a head from those behind it: it ends with an empty line that
// follows another line.
type headScanner struct {
	bytes                   int
	inLine, hasLines, ended bool
}

// scan returns how many of the next bytes belong to the head.
func (h *headScanner) scan(data []byte) int {
	count := 0
	for _, char := range data {
		if h.ended {
			break
		}
		count++
		switch char {
		case '\r':
		case '\n':
			h.ended = h.hasLines && !h.inLine
			h.inLine = false
		default:
			h.inLine, h.hasLines = true, true
		}
	}
	h.bytes += count
	return count
}

// Write implements net.Conn.
func (c *chargedConn) Write(data []byte) (int, error) {
	phase := c.account.Phase()
	c.account.Enter(core.PhaseAnswer)
	defer c.account.Enter(phase)
	written := 0
	for written < len(data) {
		count, err := c.Conn.Write(data[written:min(len(data), written+writePieceBytes)])
		written += count
		c.account.Moved(count)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// CloseWrite ends the sending direction. http.Server uses it to let a client read a refusal before
// the connection is closed.
func (c *chargedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It returns everything that the connection holds.
func (c *chargedConn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// Observe is the ConnState hook of a server. A connection is idle once its answer was written and
// the rest of its request was read.
func Observe(conn net.Conn, state http.ConnState) {
	if charged, ok := conn.(*chargedConn); ok && state == http.StateIdle {
		charged.account.Settle(0)
		charged.account.Enter(core.PhaseIdle)
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// ConnContext is the ConnContext hook of a server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if charged, ok := conn.(*chargedConn); ok {
		return context.WithValue(ctx, connKey{}, charged.account)
	}
	return ctx
}

// accountOf returns the account of the connection of a request, or nil if it has none.
func accountOf(ctx context.Context) *core.ConnectionAccount {
	account, _ := ctx.Value(connKey{}).(*core.ConnectionAccount)
	return account
}

// Charged returns a handler that keeps the accounts of the requests that next handles.
func Charged(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := accountOf(r.Context())
		if account == nil {
			next.ServeHTTP(w, r)
			return
		}
		account.Settle(headMemory(r))
		account.Enter(core.PhaseBody)
		if r.ContentLength == 0 {
			account.Enter(core.PhaseExecuting)
		}
		defer func() {
			// What is left of the request is read, and what is left of the answer is written.
			account.Settle(0)
			account.Enter(core.PhaseBody)
		}()
		next.ServeHTTP(w, r)
	})
}

// headMemory returns the estimated memory of a parsed head.
func headMemory(r *http.Request) int64 {
	total := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		total += len(name) + fieldMemory
		for _, value := range values {
			total += len(value) + fieldMemory
		}
	}
	return int64(total)
}

// markExecuting records that a request needs nothing more from its caller.
func markExecuting(ctx context.Context) {
	if account := accountOf(ctx); account != nil {
		account.Enter(core.PhaseExecuting)
	}
}

// HoldAnswer charges the connection for an answer that is about to be written, in place of its
// request. It returns false if the answer must not be written, because the memory is held for
// others. The charge ends with the request.
func HoldAnswer(ctx context.Context, bytes int) bool {
	account := accountOf(ctx)
	if account == nil {
		return true
	}
	account.Settle(0)
	return account.TryCharge(int64(bytes))
}
