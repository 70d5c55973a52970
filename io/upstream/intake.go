package upstream

import (
	"errors"
	"net"
	"sync/atomic"

	"acaciavane/core"
)

// errReplyTooLarge means that a reply goes beyond a limit.
var errReplyTooLarge = errors.New("reply too large")

const (
	// freeReplyBytes is what each connection may hold of a reply without counting against
	// the memory for replies: a read buffer full of head.
	freeReplyBytes = headWeight * readBufferBytes
	// headWeight is how many bytes of memory one byte of a head counts for. A field of a few
	// bytes takes a map entry, a key and a value.
	headWeight = 16
)

// replyMemory bounds what all connections together hold of replies that are being read.
type replyMemory struct {
	used atomic.Int64
}

// take reserves bytes and reports whether there were as many.
func (m *replyMemory) take(count int) bool {
	if m.used.Add(int64(count)) <= core.MaxHeldReplyBytes {
		return true
	}
	m.give(count)
	return false
}

func (m *replyMemory) give(count int) {
	m.used.Add(-int64(count))
}

func (m *replyMemory) held() int64 {
	return m.used.Load()
}

// intake reads a connection. It fails with errReplyTooLarge once the head of a reply, with
// the interim replies before it, is over its limit, and once there is no memory for more.
type intake struct {
	conn   net.Conn
	memory *replyMemory
	// inHead is set while a head is read, and head counts its bytes.
	inHead bool
	head   int
	// weight is what was read of replies since the last reset, in bytes of memory, and taken
	// the part of it that is reserved.
	weight int
	taken  int
}

// Read implements io.Reader.
func (i *intake) Read(buffer []byte) (int, error) {
	if i.inHead && i.head >= core.MaxReplyHeadBytes {
		return 0, errReplyTooLarge
	}
	count, err := i.conn.Read(buffer)
	if i.inHead {
		i.head += count
		i.weight += headWeight * count
	} else {
		i.weight += count
	}
	if due := i.weight - freeReplyBytes - i.taken; due > 0 {
		if !i.memory.take(due) {
			return 0, errReplyTooLarge
		}
		i.taken += due
	}
	return count, err
}

// beginHead sets the limit for a head and the interim replies before it.
func (i *intake) beginHead() {
	i.inHead, i.head = true, 0
}

// endHead lifts the limit for the body, which has one of its own.
func (i *intake) endHead() {
	i.inHead = false
}

// reset gives back the memory, once the replies that were read are not held any more.
func (i *intake) reset() {
	i.memory.give(i.taken)
	i.weight, i.taken = 0, 0
}
