package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciavane/core"
)

const (
	// maxForeignReplies is how many replies to other requests are skipped on a
	// connection before it is closed.
	maxForeignReplies = 2
	// maxInterimReplies is how many replies with a 1xx status may precede the final one.
	maxInterimReplies = 8
	// exactBodyBytes is the longest body whose buffer is allocated from its Content-Length alone.
	exactBodyBytes = unreservedReplyBytes
	// firstBlockBytes is the size of the first block in which a longer body is read. Each further
	// block is twice as large, up to the last of blockClasses.
	firstBlockBytes = 4 << 10
	blockClasses    = 5
)

// Request is an HTTP request to an upstream.
type Request struct {
	// ID identifies the request in its reply. A connection carries each ID only once: a second
	// copy of the reply to an earlier attempt may arrive there late. ID is empty if each reply
	// identifies the attempt that it belongs to.
	ID     string
	Method string
	// Target is the path with its query. It is sent unchanged.
	Target string
	Host   string
	Fields []core.Field
	Body   []byte
	// SignatureField is the name of the header field with the signature of a reply, for errors and
	// logs. It is empty if replies have none.
	SignatureField string
	// ReplyFields are the header fields whose absence from the reply would change how it is judged. A
	// reply is refused if another one begins inside the name of such a field.
	ReplyFields []string
	// Confirm, if not nil, is called right before the request is sent. The request is not sent
	// if it returns an error.
	Confirm func(ctx context.Context) error
}

// Response is a complete HTTP reply from an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// ExtraInput is whether the connection also carried input that is no reply to the request.
	ExtraInput bool
}

// encodeHead returns the head of the request in HTTP/1.1 wire format. The body follows it on the
// wire. It is not copied: all attempts of a request send the same bytes.
func (r Request) encodeHead() []byte {
	raw := make([]byte, 0, 512)
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
	return append(raw, "\r\n"...)
}

// Exchange sends a request on one connection and returns the complete reply.
// own reports whether a reply belongs to this request; replies to other requests
// are skipped. If own is nil, every reply belongs to the request. check returns an
// error for a reply that can't be used; Exchange returns this error together with
// the reply. The connection is reused only after a reply that check accepts, that
// reports an error of the upstream, or that proves that the request was not run, and
// only if it has carried nothing but the replies to its requests.
// Errors are *core.AttemptError.
func (c *Client) Exchange(ctx context.Context, target core.Target, request Request, own func(http.Header) bool, check func(Response) error) (Response, error) {
	pool := c.poolFor(target)
	pooled, err := pool.acquire(ctx, request.ID)
	if err != nil {
		return Response{}, err
	}
	started := c.clock.Now()
	if request.Confirm != nil {
		if err := request.Confirm(ctx); err != nil {
			pooled.lastUsed = started
			pool.put(pooled)
			return Response{}, &core.AttemptError{Kind: core.FailureNotSent, Detail: err.Error()}
		}
	}
	pooled.recordRequest(request)
	pooled.watched = int64(started) < pool.watchedUntil.Load()
	response, keep, err := c.roundTrip(ctx, pooled, request, own)
	if pooled.extra != "" {
		c.recordExtra(pool, pooled.extra, pooled.extraSignature)
		response.ExtraInput = true
	}
	if pooled.noLength {
		c.recordNoLength(pool, pooled.refused)
	}
	if err == nil {
		err = check(response)
	}
	if err != nil {
		pooled.describeRejected(err, request.SignatureField)
	}
	pooled.lastHead = nil
	if keep && pool.mayCarryMore(pooled) && reusable(err) {
		pooled.lastUsed = c.clock.Now()
		pool.put(pooled)
		return response, err
	}
	pool.discard(pooled)
	if isTimeout(err) {
		pool.closeIdleBefore(started)
	}
	return response, err
}

// isTimeout reports whether the attempt ended before the upstream had replied
// completely or closed the connection.
func isTimeout(err error) bool {
	var failure *core.AttemptError
	return errors.As(err, &failure) && failure.Kind == core.FailureTimeout
}

// reusable reports whether the connection can carry another request after err.
func reusable(err error) bool {
	if err == nil {
		return true
	}
	var failure *core.AttemptError
	return errors.As(err, &failure) &&
		(failure.Kind == core.FailureNotRun || failure.Kind == core.FailureNoSnapshot || failure.Kind == core.FailureError)
}

// roundTrip writes the request and reads replies until it finds the one that
// belongs to the request. The second result reports whether the connection can
// carry another request.
func (c *Client) roundTrip(ctx context.Context, pooled *pooledConn, request Request, own func(http.Header) bool) (Response, bool, error) {
	stop := context.AfterFunc(ctx, func() { _ = pooled.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer pooled.input.reset()
	buffers := net.Buffers{request.encodeHead(), request.Body}
	written, err := buffers.WriteTo(pooled.conn)
	if err != nil {
		if written == 0 {
			return Response{}, false, &core.AttemptError{Kind: core.FailureNotSent, Detail: "write request", Cause: err}
		}
		return Response{}, false, exchangeError(ctx, "write request", err)
	}
	if own == nil {
		own = func(http.Header) bool { return true }
	}
	for range maxForeignReplies + 1 {
		response, end, err := pooled.readReply(ctx, request)
		if err != nil {
			return Response{}, false, err
		}
		if own(response.Header) {
			// Bytes after the reply belong to no request, so the connection can't be
			// reused. The same holds if ctx has ended and set the deadline.
			open := stop() && !end.closes
			if pooled.bodyOverlaps(end, response.Body) {
				return Response{}, false, pooled.overlap()
			}
			pooled.noLength = end.withConnection && response.Status < http.StatusMultipleChoices
			if end.withConnection && pooled.mayHoldCopy(response.Body) {
				pooled.refused = true
				return Response{}, false, badReply("the body has no length and may hold a part of the reply to another request")
			}
			if pooled.reader.Buffered() > 0 {
				pooled.extra = extraAfterReply
			}
			return response, open && pooled.extra == "", nil
		}
		c.counters.Add(core.CountForeignReplies, 1)
		pooled.extra, pooled.extraSignature = extraReply, signatures(response.Header, request.SignatureField)
		if end.closes || pooled.mixesMethods() {
			break
		}
	}
	foreign := badReply("the connection carries replies to other requests")
	foreign.Rejected.Defect = core.DefectForeign
	return Response{}, false, foreign
}

// describeRejected adds the last head that was read to the error of the attempt.
func (p *pooledConn) describeRejected(err error, signatureField string) {
	var failure *core.AttemptError
	if !errors.As(err, &failure) {
		return
	}
	failure.Rejected.ExtraInput = p.extra != ""
	if p.lastHead != nil {
		failure.Rejected.Status = p.lastHead.StatusCode
		failure.Rejected.Signature = signatures(p.lastHead.Header, signatureField)
	}
}

// signatures returns the signatures in the head of a reply, separated by commas. A head that consists
// of parts of two may have several.
func signatures(header http.Header, field string) string {
	return strings.Join(header[http.CanonicalHeaderKey(field)], ", ")
}

// replyEnd is how the end of a reply was found.
type replyEnd struct {
	// closes is set if the upstream closes the connection after the reply.
	closes bool
	// inChunks and withConnection are set if the body ends with its last chunk or with the
	// connection. Otherwise it has a length.
	inChunks, withConnection bool
}

// readReply returns the next final reply on the connection.
func (p *pooledConn) readReply(ctx context.Context, request Request) (Response, replyEnd, error) {
	head, err := p.readHead(ctx, request)
	if err != nil {
		return Response{}, replyEnd{}, err
	}
	defer func() { _ = head.Body.Close() }()
	end := replyEnd{closes: head.Close, inChunks: len(head.TransferEncoding) > 0, withConnection: endsWithConnection(head, request.Method)}
	var body []byte
	if request.Method != http.MethodHead {
		body, err = readBody(head)
	}
	if errors.Is(err, errReplyTooLarge) {
		return Response{}, replyEnd{}, tooLarge("read body")
	}
	if err != nil && !isConnectionError(err) {
		return Response{}, replyEnd{}, &core.AttemptError{Kind: core.FailureBadReply, Detail: "read body", Cause: err}
	}
	if err != nil {
		return Response{}, replyEnd{}, exchangeError(ctx, "read body", err)
	}
	p.setIdleTimeout(head.Header.Get("Keep-Alive"))
	return Response{Status: head.StatusCode, Header: head.Header, Body: body}, end, nil
}

// readHead returns the head of the next final reply and skips interim replies. It reads nothing after
// a head with an invalid status: it is not known what follows it, or to which request it belongs.
func (p *pooledConn) readHead(ctx context.Context, request Request) (*http.Response, error) {
	p.input.beginHead()
	defer p.input.endHead()
	for range maxInterimReplies + 1 {
		head, err := http.ReadResponse(p.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, exchangeError(ctx, "read reply", err)
		}
		if headOverlaps(head, request.ReplyFields) {
			p.lastHead = head
			return nil, p.overlap()
		}
		if !core.ValidStatus(head.StatusCode) {
			p.lastHead = head
			return nil, invalidStatus(head.StatusCode)
		}
		if head.StatusCode >= http.StatusOK || head.StatusCode == http.StatusSwitchingProtocols {
			p.lastHead = head
			return head, nil
		}
	}
	return nil, badReply("interim replies without a final one")
}

// readBody returns the complete body. It fails with errReplyTooLarge if the body is
// longer than core.MaxReplyBytes.
func readBody(head *http.Response) ([]byte, error) {
	switch {
	case head.ContentLength > core.MaxReplyBytes:
		return nil, errReplyTooLarge
	case head.ContentLength >= 0 && head.ContentLength <= exactBodyBytes:
		body := make([]byte, head.ContentLength)
		_, err := io.ReadFull(head.Body, body)
		return body, err
	}
	return readBlocks(head.Body)
}

// block is a buffer for a part of a body.
type block struct {
	bytes []byte
	class int
}

// blockPools reuses the blocks of each class. Without it, bodies that are abandoned halfway would
// produce garbage faster than it is collected.
var blockPools [blockClasses]sync.Pool

// newBlock returns a block of the class, or of the largest one.
func newBlock(class int) *block {
	class = min(class, blockClasses-1)
	if reused, ok := blockPools[class].Get().(*block); ok {
		return reused
	}
	return &block{bytes: make([]byte, firstBlockBytes<<class), class: class}
}

// readBlocks reads a body in blocks, because a growing slice would leave several times its size as
// garbage. The first blocks are small: many bodies may begin and not arrive.
func readBlocks(body io.Reader) ([]byte, error) {
	var blocks []*block
	defer func() {
		for _, used := range blocks {
			blockPools[used.class].Put(used)
		}
	}()
	filled := 0
	for total := 0; ; {
		if len(blocks) == 0 || filled == len(blocks[len(blocks)-1].bytes) {
			blocks, filled = append(blocks, newBlock(len(blocks))), 0
		}
		count, err := body.Read(blocks[len(blocks)-1].bytes[filled:])
		filled += count
		total += count
		switch {
		case total > core.MaxReplyBytes:
			return nil, errReplyTooLarge
		case errors.Is(err, io.EOF):
			return joinBlocks(blocks, total), nil
		case err != nil:
			return nil, err
		}
	}
}

// joinBlocks returns the first total bytes of the blocks in one slice.
func joinBlocks(blocks []*block, total int) []byte {
	body := make([]byte, 0, total)
	for _, part := range blocks {
		body = append(body, part.bytes[:min(len(part.bytes), total-len(body))]...)
	}
	return body
}

// isConnectionError reports whether the connection itself failed, as opposed to the
// content that was read from it.
func isConnectionError(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// exchangeError classifies an error that occurs when bytes of the request may
// already have been sent.
func exchangeError(ctx context.Context, detail string, err error) error {
	if errors.Is(err, errReplyTooLarge) {
		return tooLarge(detail)
	}
	if ctx.Err() != nil {
		return &core.AttemptError{Kind: core.FailureTimeout, Detail: detail, Cause: fmt.Errorf("%w: %w", ctx.Err(), err)}
	}
	return &core.AttemptError{Kind: core.FailureLost, Detail: detail, Cause: err}
}

func tooLarge(detail string) *core.AttemptError {
	return &core.AttemptError{Kind: core.FailureBadReply, Detail: detail, Cause: errReplyTooLarge,
		Rejected: core.RejectedReply{Defect: core.DefectTooLarge}}
}

func invalidStatus(status int) *core.AttemptError {
	return &core.AttemptError{Kind: core.FailureBadReply, Detail: fmt.Sprintf("status %03d is not valid", status),
		Rejected: core.RejectedReply{Defect: core.DefectStatus}}
}

func badReply(detail string) *core.AttemptError {
	return &core.AttemptError{Kind: core.FailureBadReply, Detail: detail}
}
