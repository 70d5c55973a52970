package operator

import (
	"context"
	"log/slog"
	"sync"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the lines with the same message.
	linesPerSecond = 50
	lineBurst      = 200
	// maxMessages is the number of messages that can have a limiter. Messages are
	// constants of the program, and there are far fewer; lines with further messages
	// are dropped.
	maxMessages = 256
)

// rateLimitedHandler is a slog.Handler that limits the rate of lines with the same message.
// The next line with the message contains the number of lines that were left out before it.
type rateLimitedHandler struct {
	slog.Handler
	limits *messageLimits
}

// messageLimits holds the limit of each message.
type messageLimits struct {
	mu     sync.Mutex
	limits map[string]*messageLimit
}

// messageLimit is the rate limit of one message, with the number of lines that were left
// out since the last one was written.
type messageLimit struct {
	limiter *rate.Limiter
	leftOut int
}

func newRateLimitedHandler(handler slog.Handler) slog.Handler {
	return rateLimitedHandler{Handler: handler, limits: &messageLimits{limits: map[string]*messageLimit{}}}
}

// Handle implements slog.Handler.
func (h rateLimitedHandler) Handle(ctx context.Context, record slog.Record) error {
	leftOut, ok := h.limits.admit(record.Message)
	if !ok {
		return nil
	}
	if leftOut > 0 {
		record.AddAttrs(slog.Int("leftOut", leftOut))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), limits: h.limits}
}

// WithGroup implements slog.Handler.
func (h rateLimitedHandler) WithGroup(name string) slog.Handler {
	return rateLimitedHandler{Handler: h.Handler.WithGroup(name), limits: h.limits}
}

// admit reports whether a line with the message may be written, and how many lines with
// this message were left out since the last one.
func (m *messageLimits) admit(message string) (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit, ok := m.limits[message]
	if !ok {
		if len(m.limits) >= maxMessages {
			return 0, false
		}
		limit = &messageLimit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		m.limits[message] = limit
	}
	if !limit.limiter.Allow() {
		limit.leftOut++
		return 0, false
	}
	leftOut := limit.leftOut
	limit.leftOut = 0
	return leftOut, true
}
