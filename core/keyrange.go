package core

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// KeySpace is the number of hash positions over which the keys of a collection are
// distributed.
const KeySpace uint64 = 1 << 32

// Position returns the position of a record key: its hash modulo KeySpace.
func Position(key string) uint64 {
	return xxhash.Sum64String(key) % KeySpace
}

// KeyRange is the half-open interval [Start, End) of positions.
type KeyRange struct {
	Start uint64
	End   uint64
}

// FullRange returns the range of all positions.
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

// Intersect returns the positions in both ranges. The result is empty if they do not
// overlap.
func (r KeyRange) Intersect(o KeyRange) KeyRange {
	common := KeyRange{Start: max(r.Start, o.Start), End: min(r.End, o.End)}
	if common.End < common.Start {
		common.End = common.Start
	}
	return common
}

// RangeSet is a set of positions. It is stored as sorted ranges that do not overlap and
// are not adjacent. The zero value is the empty set.
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

// Union returns the positions in at least one of the sets.
func (s RangeSet) Union(o RangeSet) RangeSet {
	return NewRangeSet(append(s.Ranges(), o.ranges...)...)
}

// Intersect returns the positions in both sets.
func (s RangeSet) Intersect(o RangeSet) RangeSet {
	var common []KeyRange
	for i, j := 0, 0; i < len(s.ranges) && j < len(o.ranges); {
		if r := s.ranges[i].Intersect(o.ranges[j]); r.Size() > 0 {
			common = append(common, r)
		}
		if s.ranges[i].End < o.ranges[j].End {
			i++
		} else {
			j++
		}
	}
	return RangeSet{ranges: common}
}

// Subtract returns the positions in s that are not in o.
func (s RangeSet) Subtract(o RangeSet) RangeSet {
	var remaining []KeyRange
	for _, r := range s.ranges {
		start := r.Start
		for _, other := range o.ranges {
			common := r.Intersect(other)
			if common.Size() == 0 {
				continue
			}
			if common.Start > start {
				remaining = append(remaining, KeyRange{Start: start, End: common.Start})
			}
			start = max(start, common.End)
		}
		if start < r.End {
			remaining = append(remaining, KeyRange{Start: start, End: r.End})
		}
	}
	return RangeSet{ranges: remaining}
}
