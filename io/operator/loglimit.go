package operator

import (
	"context"
	"log/slog"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the lines of one kind.
	linesPerSecond = 50
	lineBurst      = 200
	// maxLineKinds bounds the kinds that are limited one by one. Messages are
	// constants of the program, so that there are far fewer.
	maxLineKinds = 256
)

// limitedHandler limits the lines of each kind, which is their message. The next
// line that is let through says how many of its kind were left out.
type limitedHandler struct {
	slog.Handler
	kinds *lineKinds
}

type lineKinds struct {
	mu    sync.Mutex
	kinds map[string]*lineKind
}

type lineKind struct {
	limiter *rate.Limiter
	leftOut int
}

func newLimitedHandler(handler slog.Handler) slog.Handler {
	return limitedHandler{Handler: handler, kinds: &lineKinds{kinds: map[string]*lineKind{}}}
}

// Handle implements slog.Handler.
func (h limitedHandler) Handle(ctx context.Context, record slog.Record) error {
	leftOut, ok := h.kinds.admit(record.Message)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		record.AddAttrs(slog.Int("leftOut", leftOut))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return limitedHandler{Handler: h.Handler.WithAttrs(attrs), kinds: h.kinds}
}

// WithGroup implements slog.Handler.
func (h limitedHandler) WithGroup(name string) slog.Handler {
	return limitedHandler{Handler: h.Handler.WithGroup(name), kinds: h.kinds}
}

// admit reports whether a line of the kind may be written, and how many were left
// out before it.
func (k *lineKinds) admit(message string) (int, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	kind, ok := k.kinds[message]
	if !ok {
		if len(k.kinds) >= maxLineKinds {
			return 0, false
		}
		kind = &lineKind{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		k.kinds[message] = kind
	}
	if !kind.limiter.Allow() {
		kind.leftOut++
		return 0, false
	}
	leftOut := kind.leftOut
	kind.leftOut = 0
	return leftOut, true
}
