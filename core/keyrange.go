package core

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// KeySpace is the number of positions in the key space of a collection.
const KeySpace uint64 = 1 << 32

// Position returns the place of a record key in the key space.
func Position(key string) uint64 {
	return xxhash.Sum64String(key) % KeySpace
}

// KeyRange is the half-open interval [Start, End) of positions.
type KeyRange struct {
	Start uint64
	End   uint64
}

// FullRange returns the whole key space.
func FullRange() KeyRange {
	return KeyRange{Start: 0, End: KeySpace}
}

// Size returns the number of positions in the range.
func (r KeyRange) Size() uint64 {
	if r.End <= r.Start {
		return 0
	}
	return r.End - r.Start
}

// Contains reports whether the position lies in the range.
func (r KeyRange) Contains(position uint64) bool {
	return position >= r.Start && position < r.End
}

// Intersect returns the positions that both ranges contain.
func (r KeyRange) Intersect(o KeyRange) KeyRange {
	both := KeyRange{Start: max(r.Start, o.Start), End: min(r.End, o.End)}
	if both.End < both.Start {
		both.End = both.Start
	}
	return both
}

// RangeSet is a set of positions, kept as sorted ranges that neither overlap
// nor touch. The zero value is empty.
type RangeSet struct {
	ranges []KeyRange
}

// NewRangeSet returns the union of the given ranges.
func NewRangeSet(ranges ...KeyRange) RangeSet {
	sorted := make([]KeyRange, 0, len(ranges))
	for _, r := range ranges {
		if r.Size() > 0 {
			sorted = append(sorted, r)
		}
	}
	slices.SortFunc(sorted, func(a, b KeyRange) int {
		switch {
		case a.Start < b.Start:
			return -1
		case a.Start > b.Start:
			return 1
		}
		return 0
	})
	merged := sorted[:0]
	for _, r := range sorted {
		last := len(merged) - 1
		if last >= 0 && r.Start <= merged[last].End {
			merged[last].End = max(merged[last].End, r.End)
			continue
		}
		merged = append(merged, r)
	}
	return RangeSet{ranges: merged}
}

// Ranges returns the ranges of the set in ascending order.
func (s RangeSet) Ranges() []KeyRange {
	return slices.Clone(s.ranges)
}

// Size returns the number of positions in the set.
func (s RangeSet) Size() uint64 {
	var size uint64
	for _, r := range s.ranges {
		size += r.Size()
	}
	return size
}

// Contains reports whether the position is in the set.
func (s RangeSet) Contains(position uint64) bool {
	index, found := slices.BinarySearchFunc(s.ranges, position, func(r KeyRange, p uint64) int {
		switch {
		case r.End <= p:
			return -1
		case r.Start > p:
			return 1
		}
		return 0
	})
	return found && s.ranges[index].Contains(position)
}

// Union returns the positions in either set.
func (s RangeSet) Union(o RangeSet) RangeSet {
	return NewRangeSet(append(s.Ranges(), o.ranges...)...)
}

// Intersect returns the positions in both sets.
func (s RangeSet) Intersect(o RangeSet) RangeSet {
	var both []KeyRange
	for i, j := 0, 0; i < len(s.ranges) && j < len(o.ranges); {
		if r := s.ranges[i].Intersect(o.ranges[j]); r.Size() > 0 {
			both = append(both, r)
		}
		if s.ranges[i].End < o.ranges[j].End {
			i++
		} else {
			j++
		}
	}
	return RangeSet{ranges: both}
}

// Subtract returns the positions of s that are not in o.
func (s RangeSet) Subtract(o RangeSet) RangeSet {
	var rest []KeyRange
	for _, r := range s.ranges {
		start := r.Start
		for _, cut := range o.ranges {
			both := r.Intersect(cut)
			if both.Size() == 0 {
				continue
			}
			if both.Start > start {
				rest = append(rest, KeyRange{Start: start, End: both.Start})
			}
			start = max(start, both.End)
		}
		if start < r.End {
			rest = append(rest, KeyRange{Start: start, End: r.End})
		}
	}
	return RangeSet{ranges: rest}
}
