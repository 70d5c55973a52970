package core

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an unordered collection of distinct values.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a set that holds the given values.
func NewSet[T cmp.Ordered](values ...T) Set[T] {
	set := make(Set[T], len(values))
	for _, v := range values {
		set[v] = struct{}{}
	}
	return set
}

// Add inserts v.
func (s Set[T]) Add(v T) {
	s[v] = struct{}{}
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Union returns a new set with the values of both sets.
func (s Set[T]) Union(o Set[T]) Set[T] {
	both := make(Set[T], len(s)+len(o))
	maps.Copy(both, s)
	maps.Copy(both, o)
	return both
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T {
	values := make([]T, 0, len(s))
	for v := range s {
		values = append(values, v)
	}
	slices.Sort(values)
	return values
}

// Option is an optional value.
type Option[T any] struct {
	value T
	set   bool
}

// Some returns an option that holds v.
func Some[T any](v T) Option[T] {
	return Option[T]{value: v, set: true}
}

// None returns an empty option.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and whether there is one.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.set
}

// Or returns the value, or fallback if there is none.
func (o Option[T]) Or(fallback T) T {
	if o.set {
		return o.value
	}
	return fallback
}
