package core

import (
	"context"
	"errors"
	"sync/atomic"
)

// ErrStopping is the cause with which the contexts of requests end that are still in flight at the
// end of a planned stop.
var ErrStopping = errors.New("the instance stops")

// Shutdown tells the parts of an instance how far its planned stop has gone.
type Shutdown struct {
	refusing atomic.Bool
	requests context.Context
	end      context.CancelCauseFunc
}

// NewShutdown returns the state of an instance that is not stopping.
func NewShutdown() *Shutdown {
	requests, end := context.WithCancelCause(context.Background())
	return &Shutdown{requests: requests, end: end}
}

// Refuse makes the instance refuse the requests that arrive from now on.
func (s *Shutdown) Refuse() { s.refusing.Store(true) }

// Refusing reports whether requests that arrive now are refused.
func (s *Shutdown) Refusing() bool { return s.refusing.Load() }

// EndRequests ends the contexts of the requests in flight, so that each of them is answered.
func (s *Shutdown) EndRequests() { s.end(ErrStopping) }

// Context returns a context that EndRequests ends, with ErrStopping as its cause.
func (s *Shutdown) Context() context.Context { return s.requests }

// Bind returns a copy of ctx that EndRequests ends, too, and a function that releases it.
func (s *Shutdown) Bind(ctx context.Context) (context.Context, func()) {
	bound, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.requests, func() { cancel(ErrStopping) })
	return bound, func() {
		stop()
		cancel(nil)
	}
}
