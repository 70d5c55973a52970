package upstream

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"time"

	"acaciavane/core"
)

// Replies that overlap. An upstream that replies twice may send the second copy in the middle of
// another reply, or break the copy off, so that the next reply continues it. Both leave the
// beginning of a reply inside another one. Neither the lengths nor the request ID show it.

const (
	versionPrefix = "HTTP/1."
	// statusPattern is the beginning of a status line. v is a minor version and d a digit.
	statusPattern = versionPrefix + "v ddd"
	// minStatusBytes is the length of the shortest part of a status line that is recognised in
	// a head: the version and a digit of the status.
	minStatusBytes = len(versionPrefix) + len("1 2")
	// minWatchedBytes occur in one body of 256 random bytes in 256. A single byte occurs in most.
	minWatchedBytes = 2
	// maxStrayBytes is the length of a line break. Some upstreams send one after each reply, so that
	// each connection carries one request. No copy of another reply precedes that one.
	maxStrayBytes = 2
	// maxHeadLines is how many lines of a possible head are examined.
	maxHeadLines = 64
	// overlapWait is how long the rest of an overlapping reply is waited for. The upstream sends
	// it together with the copy, or right after it.
	overlapWait = 5 * time.Millisecond
)

// errOverlap means that a reply begins inside another one.
var errOverlap = errors.New("another reply begins inside the reply")

// beginsReply reports whether data begins with the status line of a reply, or with the part of
// one that fits into data.
func beginsReply[T string | []byte](data T) bool {
	for i := range min(len(data), len(statusPattern)) {
		char := data[i]
		switch statusPattern[i] {
		case 'v':
			if char != '0' && char != '1' {
				return false
			}
		case 'd':
			if char < '0' || char > '9' {
				return false
			}
		default:
			if char != statusPattern[i] {
				return false
			}
		}
	}
	return len(data) > 0
}

// indexReply returns where a reply begins in data, or -1. The reply may begin with the last bytes.
func indexReply(data []byte) int {
	for at := 0; ; at++ {
		next := bytes.Index(data[at:], []byte(versionPrefix))
		if next < 0 {
			break
		}
		at += next
		if beginsReply(data[at:]) {
			return at
		}
	}
	for at := max(0, len(data)-len(versionPrefix)+1); at < len(data); at++ {
		if beginsReply(data[at:]) {
			return at
		}
	}
	return -1
}

// framingFields are the header fields that decide where a reply ends.
var framingFields = []string{"Content-Length", "Transfer-Encoding"}

// headOverlaps reports whether another reply begins inside the head. Less than minStatusBytes of it
// are recognised in the names of framingFields and of the given fields only.
func headOverlaps(head *http.Response, fields []string) bool {
	if holdsStatus(head.Status) {
		return true
	}
	for name, values := range head.Header {
		if isInterrupted(name, framingFields) || isInterrupted(name, fields) {
			return true
		}
		for _, value := range values {
			if holdsStatus(value) && (name != "Via" || !namesGateway(value)) {
				return true
			}
		}
	}
	return false
}

// isInterrupted reports whether name is one of the fields with the first bytes of a version inside
// it. A slash is not permitted in a name, so that no more than these bytes can be.
func isInterrupted(name string, fields []string) bool {
	const protocol = "HTTP"
	for _, field := range fields {
		count := len(name) - len(field)
		if count < 1 || count > len(protocol) || commonEnds(name, field) < len(field) {
			continue
		}
		for at := range len(field) + 1 {
			if strings.EqualFold(name, field[:at]+protocol[:count]+field[at:]) {
				return true
			}
		}
	}
	return false
}

// commonEnds returns how many bytes two names have in common at their beginnings and their ends.
func commonEnds(a, b string) int {
	const lowerCase = 0x20
	shorter := min(len(a), len(b))
	prefix, suffix := 0, 0
	for prefix < shorter && a[prefix]|lowerCase == b[prefix]|lowerCase {
		prefix++
	}
	for suffix < shorter && a[len(a)-1-suffix]|lowerCase == b[len(b)-1-suffix]|lowerCase {
		suffix++
	}
	return prefix + suffix
}

// holdsStatus reports whether text contains the version and the beginning of the status of a reply. A
// version alone is permitted, because header fields may contain one.
func holdsStatus(text string) bool {
	for {
		at := strings.Index(text, versionPrefix)
		if at < 0 || len(text)-at < minStatusBytes {
			return false
		}
		text = text[at:]
		if beginsReply(text) {
			return true
		}
		text = text[len(versionPrefix):]
	}
}

// namesGateway reports whether a value of the field Via names gateways by their addresses, after the
// version of the protocol, and contains no whole status.
func namesGateway(value string) bool {
	for at := strings.Index(value, versionPrefix); at >= 0; at = strings.Index(value, versionPrefix) {
		value = value[at:]
		if beginsStatusLine(value) {
			return false
		}
		value = value[len(versionPrefix):]
	}
	return true
}

// beginsStatusLine reports whether data begins with a version and a whole status.
func beginsStatusLine[T string | []byte](data T) bool {
	const end = len(statusPattern)
	return len(data) >= end && beginsReply(data) && (len(data) == end || data[end] == ' ' || data[end] == '\r')
}

// bodyOverlaps reports whether another reply begins inside the body of a reply. The bytes that this
// displaces follow a body with a length. They break the encoding of a body in chunks, or follow it if a
// line of a whole copy ends where a chunk does. A body that ends with its connection shows neither, so
// it may not contain a head.
func (p *pooledConn) bodyOverlaps(end replyEnd, body []byte) bool {
	if end.inChunks {
		at := indexReply(body)
		return at >= 0 && beginsStatusLine(body[at:]) && len(p.awaitInput()) > 0
	}
	if !end.withConnection {
		following := p.following()
		if len(following) == 0 && p.expectsRest(body) {
			following = p.awaitInput()
		}
		if !p.reused && len(following) <= maxStrayBytes && indexReply(body) < 0 {
			return false
		}
		return isDisplaced(body, following)
	}
	for at := indexReply(body); at >= 0; at = indexReply(body) {
		if holdsHead(body[at:]) {
			return true
		}
		body = body[at+1:]
	}
	return false
}

// expectsRest reports whether displaced bytes are waited for although none have arrived: if the body
// ends like the beginning of a status line or contains one, and, if the upstream has recently sent
// extra input, also if it contains the first minWatchedBytes of one.
func (p *pooledConn) expectsRest(body []byte) bool {
	return indexReply(body) >= 0 || p.watched && bytes.Contains(body, []byte(versionPrefix[:minWatchedBytes]))
}

// isDisplaced reports whether the bytes that follow a body may be its own last bytes, displaced by
// the beginning of another reply. The beginning is as long as the bytes that it displaces, of which
// some may not have arrived, so the body contains at least as many bytes of a status line as follow.
// The body may end inside that beginning; the rest of it follows then.
func isDisplaced(body, following []byte) bool {
	count := min(len(following), len(statusPattern))
	if count == 0 {
		return false
	}
	window := make([]byte, 0, len(statusPattern))
	for at := 0; at < len(body); at++ {
		next := bytes.IndexByte(body[at:], versionPrefix[0])
		if next < 0 {
			return false
		}
		at += next
		inside := min(count, len(body)-at)
		window = append(window[:0], body[at:at+inside]...)
		window = append(window, following[:count-inside]...)
		if beginsReply(window) {
			return true
		}
	}
	return false
}

// holdsHead reports whether data, which begins like a status line, continues like a head as far as
// it goes, or for maxHeadLines. Less than a version is not enough.
func holdsHead(data []byte) bool {
	if len(data) < len(versionPrefix) {
		return false
	}
	_, rest, more := bytes.Cut(data, []byte("\n"))
	for range maxHeadLines {
		if !more {
			return true
		}
		var line []byte
		line, rest, more = bytes.Cut(rest, []byte("\n"))
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return true
		}
		if more && !bytes.Contains(line, []byte(":")) {
			return false
		}
	}
	return true
}

// following returns the first bytes that have arrived after the reply, as many as a status line
// takes at most. It does not wait. Like awaitInput it is called after the deadline of the request no
// longer applies to the connection.
func (p *pooledConn) following() []byte {
	if p.reader.Buffered() == 0 && p.input.filled {
		_ = p.conn.SetReadDeadline(time.Time{})
		if inputOf(p.conn) == inputPending {
			_, _ = p.reader.Peek(1)
		}
	}
	following, _ := p.reader.Peek(min(p.reader.Buffered(), len(statusPattern)))
	return following
}

// awaitInput waits for bytes after the reply, for p.overlapWait at most, and returns them like
// following.
func (p *pooledConn) awaitInput() []byte {
	_ = p.conn.SetReadDeadline(time.Now().Add(p.overlapWait))
	_, _ = p.reader.Peek(1)
	_ = p.conn.SetReadDeadline(time.Time{})
	return p.following()
}

// overlap records that another reply begins inside the reply, and returns the error for it.
func (p *pooledConn) overlap() *core.AttemptError {
	p.extra = extraInsideReply
	return &core.AttemptError{Kind: core.FailureBadReply, Detail: "read reply", Cause: errOverlap,
		Rejected: core.RejectedReply{Defect: core.DefectOverlap}}
}
