package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"acaciavane/core"
)

const (
	// maxForeignReplies is how many replies to other requests are passed over on a
	// connection before it is given up.
	maxForeignReplies = 2
	// maxInterimReplies is how many replies with a 1xx status may come before a final one.
	maxInterimReplies = 8
	// bodyAheadBytes is the longest body that is allocated on the word of its length, and the
	// size of the pieces in which longer ones are read.
	bodyAheadBytes = 64 << 10
)

// Request is one HTTP request as it is sent to an upstream.
type Request struct {
	Method string
	// Target is the path with its query, sent byte for byte.
	Target string
	Host   string
	Fields []core.Field
	Body   []byte
}

// Response is a whole HTTP reply of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// encode returns the request's bytes.
func (r Request) encode() []byte {
	raw := make([]byte, 0, 512+len(r.Body))
	raw = append(raw, r.Method...)
	raw = append(raw, ' ')
	raw = append(raw, r.Target...)
	raw = append(raw, " HTTP/1.1\r\nHost: "...)
	raw = append(raw, r.Host...)
	raw = append(raw, "\r\n"...)
	for _, field := range r.Fields {
		raw = append(raw, field.Name...)
		raw = append(raw, ": "...)
		raw = append(raw, field.Value...)
		raw = append(raw, "\r\n"...)
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		raw = append(raw, "Content-Length: "...)
		raw = strconv.AppendInt(raw, int64(len(r.Body)), 10)
		raw = append(raw, "\r\n"...)
	}
	raw = append(raw, "\r\n"...)
	return append(raw, r.Body...)
}

// Exchange sends a request on one connection and returns the whole reply to it.
// own tells a reply to this request from one to another, which is passed over;
// check refuses a reply that can't be used. The connection is used again only
// after a reply that check accepts, or that proves that the request was not run.
// Errors are *core.AttemptError.
func (c *Client) Exchange(ctx context.Context, target core.Target, request Request, own func(http.Header) bool, check func(Response) error) (Response, error) {
	lanes := c.lanesOf(target)
	lane, err := lanes.take(ctx)
	if err != nil {
		return Response{}, err
	}
	started := c.clock.Now()
	response, keep, err := c.roundTrip(ctx, lane, request, own)
	if err == nil {
		err = check(response)
	}
	if keep && reusable(err) {
		lane.usedAt = c.clock.Now()
		lanes.put(lane)
		return response, err
	}
	lanes.discard(lane)
	if silenced(err) {
		lanes.dropIdleSince(started)
	}
	return response, err
}

// silenced reports whether the upstream neither replied nor broke the connection.
func silenced(err error) bool {
	var failure *core.AttemptError
	return errors.As(err, &failure) && failure.Kind == core.FailureTimeout
}

func reusable(err error) bool {
	if err == nil {
		return true
	}
	var failure *core.AttemptError
	return errors.As(err, &failure) &&
		(failure.Kind == core.FailureNotRun || failure.Kind == core.FailureNoSnapshot || failure.Kind == core.FailureError)
}

// roundTrip writes the request and reads replies until its own one is in. keep
// says whether the connection is sound for another request.
func (c *Client) roundTrip(ctx context.Context, lane *lane, request Request, own func(http.Header) bool) (Response, bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = lane.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer lane.intake.reset()
	written, err := lane.conn.Write(request.encode())
	if err != nil {
		if written == 0 {
			return Response{}, false, &core.AttemptError{Kind: core.FailureNotSent, Detail: "write request", Cause: err}
		}
		return Response{}, false, exchangeError(ctx, "write request", err)
	}
	for range maxForeignReplies + 1 {
		response, open, err := lane.read(ctx, request.Method)
		if err != nil {
			return Response{}, false, err
		}
		if own == nil || own(response.Header) {
			// More bytes than the reply belong to no request.
			return response, open && lane.reader.Buffered() == 0 && stop(), nil
		}
		c.counters.Add(core.CountForeignReplies, 1)
		if !open {
			break
		}
	}
	return Response{}, false, badReply("the connection carries replies to other requests")
}

// read returns the next final reply on the connection, and whether the upstream
// keeps the connection open after it.
func (l *lane) read(ctx context.Context, method string) (Response, bool, error) {
	head, err := l.readHead(ctx, method)
	if err != nil {
		return Response{}, false, err
	}
	defer func() { _ = head.Body.Close() }()
	body, err := readBody(head)
	if err != nil && !connectionBroke(err) {
		return Response{}, false, &core.AttemptError{Kind: core.FailureBadReply, Detail: "read body", Cause: err}
	}
	if err != nil {
		return Response{}, false, exchangeError(ctx, "read body", err)
	}
	l.noteKeepAlive(head.Header.Get("Keep-Alive"))
	response := Response{Status: head.StatusCode, Header: head.Header, Body: body}
	return response, !head.Close, nil
}

// readHead returns the head of the next reply that is not an interim one.
func (l *lane) readHead(ctx context.Context, method string) (*http.Response, error) {
	l.intake.beginHead()
	defer l.intake.endHead()
	for range maxInterimReplies + 1 {
		head, err := http.ReadResponse(l.reader, &http.Request{Method: method})
		if err != nil {
			return nil, exchangeError(ctx, "read reply", err)
		}
		if head.StatusCode >= http.StatusOK || head.StatusCode == http.StatusSwitchingProtocols {
			return head, nil
		}
	}
	return nil, badReply("interim replies without a final one")
}

func readBody(head *http.Response) ([]byte, error) {
	switch {
	case head.ContentLength > core.MaxReplyBytes:
		return nil, errReplyTooLarge
	case head.ContentLength >= 0 && head.ContentLength <= bodyAheadBytes:
		body := make([]byte, head.ContentLength)
		_, err := io.ReadFull(head.Body, body)
		return body, err
	}
	return readLong(head.Body)
}

// pieces are used again and again: the garbage of bodies that are given up would come faster
// than it is collected.
var pieces = sync.Pool{New: func() any { return new([bodyAheadBytes]byte) }}

// readLong reads a body in pieces. A slice that grows would leave several times its size as
// garbage.
func readLong(body io.Reader) ([]byte, error) {
	var full []*[bodyAheadBytes]byte
	defer func() {
		for _, piece := range full {
			pieces.Put(piece)
		}
	}()
	for total := 0; ; {
		if total == len(full)*bodyAheadBytes {
			full = append(full, pieces.Get().(*[bodyAheadBytes]byte))
		}
		count, err := body.Read(full[len(full)-1][total%bodyAheadBytes:])
		total += count
		switch {
		case total > core.MaxReplyBytes:
			return nil, errReplyTooLarge
		case errors.Is(err, io.EOF):
			return join(full, total), nil
		case err != nil:
			return nil, err
		}
	}
}

// join returns the first bytes of all pieces.
func join(full []*[bodyAheadBytes]byte, total int) []byte {
	whole := make([]byte, 0, total)
	for _, piece := range full {
		whole = append(whole, piece[:min(bodyAheadBytes, total-len(whole))]...)
	}
	return whole
}

// connectionBroke tells errors of a connection from those of what came on it.
func connectionBroke(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// exchangeError classifies an error after bytes of the request may have left.
func exchangeError(ctx context.Context, detail string, err error) error {
	if errors.Is(err, errReplyTooLarge) {
		return &core.AttemptError{Kind: core.FailureBadReply, Detail: detail, Cause: err}
	}
	if ctx.Err() != nil {
		return &core.AttemptError{Kind: core.FailureTimeout, Detail: detail, Cause: fmt.Errorf("%w: %w", ctx.Err(), err)}
	}
	return &core.AttemptError{Kind: core.FailureLost, Detail: detail, Cause: err}
}

func badReply(detail string) *core.AttemptError {
	return &core.AttemptError{Kind: core.FailureBadReply, Detail: detail}
}
