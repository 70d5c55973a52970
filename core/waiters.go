package core

import (
	"context"
	"slices"
)

// waiter is an attempt that waits for a replica of a service with free capacity.
type waiter struct {
	want Want
	// granted receives the permit, or the reason why there will be none.
	granted chan grantResult
}

// grantResult is a permit, or the error that ends the wait for one.
type grantResult struct {
	permit *Permit
	err    error
}

// await waits until the waiter is granted a permit, no eligible replica remains, or ctx
// ends. If a permit is granted while ctx ends, it is released.
func (f *Fleet) await(ctx context.Context, s *service, w *waiter) (*Permit, error) {
	select {
	case result := <-w.granted:
		return result.permit, result.err
	case <-ctx.Done():
	}
	f.mu.Lock()
	s.dequeue(w)
	f.mu.Unlock()
	select {
	case result := <-w.granted:
		if result.permit != nil {
			result.permit.Release()
		}
	default:
	}
	return nil, ctx.Err()
}

// hasExclusiveWaiter reports whether a waiter needs exclusive use of a replica. New
// attempts then join the queue instead of taking free capacity, so that the replica
// drains.
func (s *service) hasExclusiveWaiter() bool {
	return slices.ContainsFunc(s.waiters, func(w *waiter) bool { return w.want.Exclusive })
}

// enqueue inserts the waiter after those of the same or a higher priority.
func (s *service) enqueue(w *waiter) {
	index := slices.IndexFunc(s.waiters, func(o *waiter) bool {
		return o.want.Priority < w.want.Priority
	})
	if index < 0 {
		index = len(s.waiters)
	}
	s.waiters = slices.Insert(s.waiters, index, w)
}

// dequeue removes the waiter if it is in the queue.
func (s *service) dequeue(w *waiter) {
	if index := slices.Index(s.waiters, w); index >= 0 {
		s.waiters = slices.Delete(s.waiters, index, index+1)
	}
}

// grant gives permits to the waiters in order, as far as replicas have free capacity. It
// rejects the waiters for which no eligible replica remains, and those that request limits
// would keep waiting for too long. It stops at a waiter for
// exclusive use that gets no permit. The caller holds the lock.
func (f *Fleet) grant(s *service) {
	waiting := slices.Clone(s.waiters)
	for _, w := range waiting {
		if len(f.eligible(s, w.want)) == 0 {
			s.dequeue(w)
			w.granted <- grantResult{err: ErrNoReplica}
			continue
		}
		s.dequeue(w)
		permit := f.tryAcquire(s, w.want)
		if permit == nil {
			if err := f.limitedError(s, w.want); err != nil {
				w.granted <- grantResult{err: err}
				continue
			}
			s.enqueueFront(w)
			if w.want.Exclusive {
				return
			}
			continue
		}
		w.granted <- grantResult{permit: permit}
	}
}

// enqueueFront inserts the waiter before all others of its priority.
func (s *service) enqueueFront(w *waiter) {
	index := slices.IndexFunc(s.waiters, func(o *waiter) bool {
		return o.want.Priority <= w.want.Priority
	})
	if index < 0 {
		index = len(s.waiters)
	}
	s.waiters = slices.Insert(s.waiters, index, w)
}
