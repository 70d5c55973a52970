package core

import (
	"testing"

	"pgregory.net/rapid"
)

// drawRanges draws ranges from a small interval, so that they often overlap.
func drawRanges(t *rapid.T, label string) []KeyRange {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) KeyRange {
		start := rapid.Uint64Range(0, 60).Draw(t, "start")
		return KeyRange{Start: start, End: start + rapid.Uint64Range(0, 12).Draw(t, "size")}
	}), 0, 8).Draw(t, label)
}

// inAny reports whether any of the ranges contains the position.
func inAny(ranges []KeyRange, position uint64) bool {
	for _, r := range ranges {
		if r.Contains(position) {
			return true
		}
	}
	return false
}

func TestRangeSetMatchesASetOfPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRanges(t, "a"), drawRanges(t, "b")
		setA, setB := NewRangeSet(a...), NewRangeSet(b...)
		union, intersection, difference := setA.Union(setB), setA.Intersect(setB), setA.Subtract(setB)
		var size uint64
		for p := uint64(0); p < 80; p++ {
			inA, inB := inAny(a, p), inAny(b, p)
			if setA.Contains(p) != inA {
				t.Fatalf("position %d: contains %v, want %v", p, setA.Contains(p), inA)
			}
			if union.Contains(p) != (inA || inB) || intersection.Contains(p) != (inA && inB) || difference.Contains(p) != (inA && !inB) {
				t.Fatalf("position %d: union, intersection or difference is wrong", p)
			}
			if inA {
				size++
			}
		}
		if setA.Size() != size {
			t.Fatalf("size %d, want %d", setA.Size(), size)
		}
	})
}
