package core

import (
	"context"
	"slices"
)

// waiter is an attempt that waits for room at a service.
type waiter struct {
	want    Want
	granted chan *Permit
}

func (f *Fleet) await(ctx context.Context, s *service, w *waiter) (*Permit, error) {
	select {
	case permit := <-w.granted:
		if permit == nil {
			return nil, ErrNoReplica
		}
		return permit, nil
	case <-ctx.Done():
	}
	f.mu.Lock()
	s.dequeue(w)
	f.mu.Unlock()
	select {
	case permit := <-w.granted:
		if permit != nil {
			permit.Release()
		}
	default:
	}
	return nil, ctx.Err()
}

// isolating reports whether a waiter needs a replica for itself. Nobody is
// given room before it, so that the replica drains.
func (s *service) isolating() bool {
	return slices.ContainsFunc(s.waiters, func(w *waiter) bool { return w.want.Exclusive })
}

// enqueue inserts the waiter behind those of the same or a higher priority.
func (s *service) enqueue(w *waiter) {
	index := slices.IndexFunc(s.waiters, func(o *waiter) bool {
		return o.want.Priority < w.want.Priority
	})
	if index < 0 {
		index = len(s.waiters)
	}
	s.waiters = slices.Insert(s.waiters, index, w)
}

func (s *service) dequeue(w *waiter) {
	if index := slices.Index(s.waiters, w); index >= 0 {
		s.waiters = slices.Delete(s.waiters, index, index+1)
	}
}

// grant hands room to the waiters in order, and turns away those for whom no
// replica is left.
func (f *Fleet) grant(s *service) {
	waiting := slices.Clone(s.waiters)
	for _, w := range waiting {
		if len(f.eligible(s, w.want)) == 0 {
			s.dequeue(w)
			w.granted <- nil
			continue
		}
		s.dequeue(w)
		permit := f.take(s, w.want)
		if permit == nil {
			s.enqueueFront(w)
			if w.want.Exclusive {
				return
			}
			continue
		}
		w.granted <- permit
	}
}

// enqueueFront puts back a waiter before all others of its priority.
func (s *service) enqueueFront(w *waiter) {
	index := slices.IndexFunc(s.waiters, func(o *waiter) bool {
		return o.want.Priority <= w.want.Priority
	})
	if index < 0 {
		index = len(s.waiters)
	}
	s.waiters = slices.Insert(s.waiters, index, w)
}
