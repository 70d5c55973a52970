package caller

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"acaciavane/core"
)

const (
	// firstBlockBytes is the size of the first block of a chunked body, enough for small ones.
	firstBlockBytes = 4 << 10
	// bodyBlockBytes is the size of the further blocks.
	bodyBlockBytes = 64 << 10
	// retryMinMillis and retrySpreadMillis determine when the caller of a request that was refused
	// for lack of memory should retry. Stalled connections are closed within this time.
	retryMinMillis    = core.Second
	retrySpreadMillis = 2 * core.Second
	// drainTimeout is how long the rest of a refused request is read, so that its caller can read
	// the refusal.
	drainTimeout = time.Second
)

// ReadBody reads the whole body of a request and charges its connection for it, copies times its
// length. The charge ends with the request. The error is *http.MaxBytesError if the body is longer
// than limit, and core.ErrBudgetExhausted if the memory is held for others.
func ReadBody(r *http.Request, limit int64, copies int) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	account := accountOf(r.Context())
	reader := bodyReader{ctx: r.Context(), account: account, body: http.MaxBytesReader(nil, r.Body, limit), copies: int64(copies)}
	body, err := reader.read(r.ContentLength)
	markExecuting(r.Context())
	return body, err
}

// bodyReader reads one body.
type bodyReader struct {
	ctx     context.Context
	account *core.ConnectionAccount
	body    io.Reader
	copies  int64
}

// read reads a body of the given length, or of unknown length if it is negative.
func (b *bodyReader) read(length int64) ([]byte, error) {
	if length < 0 {
		return b.readBlocks()
	}
	if err := b.charge(length * b.copies); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(b.body, body); err != nil {
		return nil, err
	}
	// Reaching the end of the body lets the server notice that the caller disconnects.
	_, err := io.Copy(io.Discard, b.body)
	return body, err
}

// charge charges the connection, if it has an account.
func (b *bodyReader) charge(bytes int64) error {
	if b.account == nil {
		return nil
	}
	return b.account.Charge(b.ctx, bytes)
}

// blockPool reuses the blocks of readBlocks, as bodies that stop halfway would otherwise leave them
// as garbage.
var blockPool = sync.Pool{New: func() any { return new([bodyBlockBytes]byte) }}

// readBlocks reads a body of unknown length. Blocks of fixed size need less memory than a slice
// that grows by copying.
func (b *bodyReader) readBlocks() ([]byte, error) {
	blocks := [][]byte{make([]byte, firstBlockBytes)}
	held := int64(firstBlockBytes)
	if err := b.charge(held); err != nil {
		return nil, err
	}
	defer func() {
		for _, block := range blocks[1:] {
			blockPool.Put((*[bodyBlockBytes]byte)(block))
		}
	}()
	for total, used := 0, 0; ; {
		if last := blocks[len(blocks)-1]; used == len(last) {
			if err := b.charge(bodyBlockBytes); err != nil {
				return nil, err
			}
			held += bodyBlockBytes
			blocks, used = append(blocks, blockPool.Get().(*[bodyBlockBytes]byte)[:]), 0
		}
		count, err := b.body.Read(blocks[len(blocks)-1][used:])
		total, used = total+count, used+count
		switch {
		case errors.Is(err, io.EOF):
			return b.join(blocks, total, held)
		case err != nil:
			return nil, err
		}
	}
}

// join returns the first total bytes of the blocks in one slice, and the charge for the blocks.
func (b *bodyReader) join(blocks [][]byte, total int, held int64) ([]byte, error) {
	if err := b.charge(int64(total) * b.copies); err != nil {
		return nil, err
	}
	body := make([]byte, 0, total)
	for _, block := range blocks {
		body = append(body, block[:min(len(block), total-len(body))]...)
	}
	if b.account != nil {
		b.account.Return(held)
	}
	return body, nil
}

// CloseUnread closes the connection of a request that was not read completely, after its answer. The
// rest is read for a short time, so that the caller can read the answer.
func CloseUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
}

// RetryAfter returns the value of a Retry-After field in seconds for a request that was refused for
// lack of memory and certainly not run. It is spread, so that callers don't return at the same time.
func RetryAfter() string {
	wait := retryMinMillis + core.Millis(rand.Int64N(int64(retrySpreadMillis)))
	return strconv.FormatFloat(wait.Duration().Seconds(), 'f', -1, 64)
}
