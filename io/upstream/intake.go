package upstream

import (
	"errors"
	"net"
	"sync/atomic"

	"acaciavane/core"
)

// errReplyTooLarge means that a reply exceeds a size limit or the memory budget.
var errReplyTooLarge = errors.New("reply too large")

const (
	// unreservedReplyBytes is how much reply memory each connection may use without reserving
	// it from the budget: the memory of a head that fills the read buffer.
	unreservedReplyBytes = headMemoryFactor * readBufferBytes
	// headMemoryFactor is how many bytes of memory each byte of a head is assumed to take.
	// Even a header field of a few bytes takes a map entry, a key and a value.
	headMemoryFactor = 16
)

// replyBudget limits the memory that replies take while they are read, over all connections,
// to core.MaxHeldReplyBytes.
type replyBudget struct {
	used atomic.Int64
}

// reserve reserves count bytes. It reports false and reserves none if they would exceed the
// budget.
func (b *replyBudget) reserve(count int) bool {
	if b.used.Add(int64(count)) <= core.MaxHeldReplyBytes {
		return true
	}
	b.release(count)
	return false
}

// release returns count reserved bytes to the budget.
func (b *replyBudget) release(count int) {
	b.used.Add(-int64(count))
}

// reserved returns how many bytes are reserved.
func (b *replyBudget) reserved() int64 {
	return b.used.Load()
}

// replyReader reads replies from a connection. It fails with errReplyTooLarge once the head
// of a reply, including the interim replies before it, reaches core.MaxReplyHeadBytes, and
// once the budget has no memory left.
type replyReader struct {
	conn   net.Conn
	budget *replyBudget
	// inHead is set while a head is read. headBytes counts the bytes of that head.
	inHead    bool
	headBytes int
	// cost is the estimated memory, in bytes, of what was read since the last reset. reserved
	// is the part of it that is reserved from the budget.
	cost     int
	reserved int
	// filled is set if the last read filled its buffer, so that more input may have arrived.
	filled bool
}

// Read implements io.Reader.
func (r *replyReader) Read(buffer []byte) (int, error) {
	if r.inHead && r.headBytes >= core.MaxReplyHeadBytes {
		return 0, errReplyTooLarge
	}
	count, err := r.conn.Read(buffer)
	r.filled = count == len(buffer)
	if r.inHead {
		r.headBytes += count
		r.cost += headMemoryFactor * count
	} else {
		r.cost += count
	}
	if needed := r.cost - unreservedReplyBytes - r.reserved; needed > 0 {
		if !r.budget.reserve(needed) {
			return 0, errReplyTooLarge
		}
		r.reserved += needed
	}
	return count, err
}

// beginHead starts the limit for a head and the interim replies before it.
func (r *replyReader) beginHead() {
	r.inHead, r.headBytes = true, 0
}

// endHead ends the limit for the head. readBody limits the body.
func (r *replyReader) endHead() {
	r.inHead = false
}

// reset returns the reserved memory to the budget. It is called once no reply is being read.
func (r *replyReader) reset() {
	r.budget.release(r.reserved)
	r.cost, r.reserved = 0, 0
}
