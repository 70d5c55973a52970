package upstream

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"acaciavane/core"
)

const (
	// reconnectDelayMillis is the pause between closing a connection and opening
	// another in its place, so that the upstream never counts both.
	reconnectDelayMillis = 20 * core.Millis(1)
	// keepAliveMarginMillis is how long before the end of the upstream's announced
	// idle timeout a connection is no longer used. It covers the transmission of
	// one more request.
	keepAliveMarginMillis = 300 * core.Millis(1)
	// maxConnections limits the connections to one upstream, even if
	// core.Target.MaxConnections is larger.
	maxConnections = 1024
	// maxRequestIDs is how many requests a connection remembers. It is closed after the last of
	// them, so that none is forgotten. The new connection takes 6 ms, and the memory of a
	// connection stays at 4 KiB.
	maxRequestIDs = 1024
	// readBufferBytes is large enough for a small reply with its head.
	readBufferBytes = 2048
)

// pooledConn is one connection to an upstream. It carries one request at a time.
type pooledConn struct {
	conn   net.Conn
	input  *replyReader
	reader *bufio.Reader
	// lastUsed is when the last reply was read completely, or when the connection
	// was opened.
	lastUsed core.Millis
	// idleTimeout is how long the upstream keeps the connection open without a
	// request, or zero if the upstream does not announce it.
	idleTimeout core.Millis
	// sent holds the hashes of the IDs of the requests that were sent on this connection.
	sent []uint32
	// sentHead and sentOther are set once a request with the method HEAD, or another one, was
	// sent.
	sentHead, sentOther bool
	// reused is set once a second request was sent.
	reused bool
	// noLength is set if the reply to the request is a success that ends with the connection, and
	// refused if it was refused for that.
	noLength, refused bool
	// overlapWait is how long the rest of an overlapping reply is waited for.
	overlapWait time.Duration
	// watched is set if the upstream sent extra input within extraWatchMillis.
	watched bool
	// extra says which input arrived that is no reply to the request, or is empty. extraSignature is
	// the signature of a reply to another request.
	extra          extraInput
	extraSignature string
	// lastHead is the last final head that was read for the current request, or nil.
	lastHead *http.Response
}

// idSeed is the seed of the hashes of request IDs, which callers choose.
var idSeed = maphash.MakeSeed()

// hashID returns the hash by which a connection remembers a request ID.
func hashID(id string) uint32 {
	return uint32(maphash.String(idSeed, id))
}

// recordRequest records that a request is sent on this connection.
func (p *pooledConn) recordRequest(request Request) {
	p.reused = p.hasCarriedAny()
	if request.Method == http.MethodHead {
		p.sentHead = true
	} else {
		p.sentOther = true
	}
	if request.ID != "" {
		p.sent = append(p.sent, hashID(request.ID))
	}
}

// remembersAll reports whether the connection can remember one more request.
func (p *pooledConn) remembersAll() bool {
	return len(p.sent) < maxRequestIDs
}

// hasCarriedAny reports whether any request was sent on this connection.
func (p *pooledConn) hasCarriedAny() bool {
	return p.sentHead || p.sentOther
}

// hasCarried reports whether a request with this ID was sent on this connection. It may also
// report true for another request, whose ID has the same hash.
func (p *pooledConn) hasCarried(id string) bool {
	return id != "" && len(p.sent) > 0 && slices.Contains(p.sent, hashID(id))
}

// mixesMethods reports whether the body of a reply to an unknown request can't be told from what
// follows it: the reply to a HEAD request has the header of a body, but no body.
func (p *pooledConn) mixesMethods() bool {
	return p.sentHead && p.sentOther
}

// setIdleTimeout reads the idle timeout from a Keep-Alive header of the form
// "timeout=SECONDS, max=N".
func (p *pooledConn) setIdleTimeout(value string) {
	for _, parameter := range strings.Split(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(number, 10, 16); err == nil {
			p.idleTimeout = core.Millis(seconds) * core.Second
		}
	}
}

// usable reports whether the upstream is expected to keep the connection open
// long enough for one more request. For an idle timeout shorter than twice
// keepAliveMarginMillis, the margin is half the timeout.
func (p *pooledConn) usable(now core.Millis) bool {
	if p.idleTimeout == 0 {
		return true
	}
	return now-p.lastUsed < max(p.idleTimeout/2, p.idleTimeout-keepAliveMarginMillis)
}

func (p *pooledConn) close() {
	_ = p.conn.Close()
}

// connPool holds all connections of the instance to one upstream.
type connPool struct {
	clock  core.Clock
	dialer *net.Dialer
	budget *replyBudget
	target core.Target
	// tokens holds one token for each further connection that may be in use. A
	// token is taken before a connection is used and returned after it.
	tokens chan struct{}

	// onExtra is called for input that arrived on an idle connection. It may be called while mu
	// is held.
	onExtra func(extraInput)
	// overlapWait is the overlapWait of the connections.
	overlapWait time.Duration
	// watchedUntil is when the ends of bodies are no longer watched more closely, in core.Millis.
	watchedUntil atomic.Int64

	mu   sync.Mutex
	idle []*pooledConn
	// limit is how many connections may be in use. excess is how many are still in
	// use above it after it was lowered.
	limit  int
	excess int
	closed bool
	// singleUseUntil is when connections may carry several requests again.
	singleUseUntil core.Millis
}

func newConnPool(clock core.Clock, dialer *net.Dialer, budget *replyBudget, target core.Target) *connPool {
	p := &connPool{clock: clock, dialer: dialer, budget: budget, target: target, tokens: make(chan struct{}, maxConnections), onExtra: func(extraInput) {}, overlapWait: overlapWait}
	p.resize(target.MaxConnections)
	return p
}

// resize sets how many connections may be in use.
func (p *connPool) resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit = min(max(1, limit), maxConnections)
	for ; p.limit < limit; p.limit++ {
		p.returnTokenLocked()
	}
	for ; p.limit > limit; p.limit-- {
		select {
		case <-p.tokens:
		default:
			p.excess++
		}
	}
}

// returnTokenLocked allows one more connection to be in use, unless more than limit
// are in use. The caller holds the lock.
func (p *connPool) returnTokenLocked() {
	if p.excess > 0 {
		p.excess--
		return
	}
	p.tokens <- struct{}{}
}

// returnToken is returnTokenLocked for callers that do not hold the lock.
func (p *connPool) returnToken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.returnTokenLocked()
}

// acquire waits until a connection may be used. It returns the most recently used idle
// connection that has not carried the request with this ID, or a new one if there is none.
// Its errors are *core.AttemptError.
func (p *connPool) acquire(ctx context.Context, id string) (*pooledConn, error) {
	select {
	case <-p.tokens:
	case <-ctx.Done():
		return nil, &core.AttemptError{Kind: core.FailureNotSent, Detail: "no free connection", Cause: ctx.Err()}
	}
	if pooled := p.takeIdle(id); pooled != nil {
		return pooled, nil
	}
	if p.makeRoom() {
		if err := p.clock.Sleep(ctx, reconnectDelayMillis); err != nil {
			p.returnToken()
			return nil, &core.AttemptError{Kind: core.FailureNotSent, Detail: "reconnect", Cause: err}
		}
	}
	pooled, err := p.dial(ctx)
	if err != nil {
		p.returnToken()
		return nil, err
	}
	return pooled, nil
}

// takeIdle returns the most recently used idle connection that still appears usable and has not
// carried the request with this ID, or nil if there is none. It closes those that are no longer
// usable.
func (p *connPool) takeIdle(id string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		pooled := p.idle[i]
		if pooled.hasCarried(id) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		state := inputOf(pooled.conn)
		if pooled.usable(now) && state == inputNone && p.mayCarryLocked(pooled) {
			return pooled
		}
		if state == inputPending {
			p.onExtra(extraWhileIdle)
		}
		pooled.close()
	}
	return nil
}

// makeRoom closes the idle connection that was not used for the longest time if no more
// connections may be opened, and reports whether it did. The caller has taken a token for
// a connection that it has not opened yet.
func (p *connPool) makeRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 || p.openLocked() <= p.limit {
		return false
	}
	p.idle[0].close()
	p.idle = slices.Delete(p.idle, 0, 1)
	return true
}

// dial opens a new connection. The caller has taken a token for it.
func (p *connPool) dial(ctx context.Context) (*pooledConn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.target.Address)
	if err != nil {
		return nil, &core.AttemptError{Kind: core.FailureNotSent, Detail: "connect", Cause: err}
	}
	input := &replyReader{conn: conn, budget: p.budget}
	return &pooledConn{conn: conn, input: input, reader: bufio.NewReaderSize(input, readBufferBytes), lastUsed: p.clock.Now(), overlapWait: p.overlapWait}, nil
}

// put returns a connection that may be reused to the pool, with its token.
func (p *connPool) put(pooled *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		pooled.close()
	} else {
		p.idle = append(p.idle, pooled)
	}
	p.returnTokenLocked()
}

// discard closes the connection and returns its token after reconnectDelayMillis.
func (p *connPool) discard(pooled *pooledConn) {
	pooled.close()
	go func() {
		_ = p.clock.Sleep(context.Background(), reconnectDelayMillis)
		p.returnToken()
	}()
}

// closeIdleBefore closes the idle connections that were last used before the given
// time. An upstream that stopped responding may have lost the state of all of them.
func (p *connPool) closeIdleBefore(before core.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, pooled := range p.idle {
		if pooled.lastUsed < before {
			pooled.close()
			continue
		}
		kept = append(kept, pooled)
	}
	p.idle = kept
}

// preconnect opens connections until count are idle or in use. It stops early if no
// more may be in use or if dialing fails.
func (p *connPool) preconnect(ctx context.Context, count int) {
	for range count {
		if !p.takeMissing(count) {
			return
		}
		pooled, err := p.dial(ctx)
		if err != nil {
			p.returnToken()
			return
		}
		p.put(pooled)
	}
}

// takeMissing takes a token for a new connection if fewer than count are idle or in use, and
// reports whether it did. Requests may have opened connections since the last call.
func (p *connPool) takeMissing(count int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openLocked() >= count {
		return false
	}
	select {
	case <-p.tokens:
		return true
	default:
		return false
	}
}

// open returns how many connections are idle or in use.
func (p *connPool) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openLocked()
}

// openLocked is open for callers that hold the lock.
func (p *connPool) openLocked() int {
	return len(p.idle) + p.limit + p.excess - len(p.tokens)
}

// close closes the idle connections at once and those in use when their request
// ends.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pooled := range p.idle {
		pooled.close()
	}
	p.idle = nil
}
