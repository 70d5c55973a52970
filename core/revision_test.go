package core

import (
	"fmt"
	"slices"
	"testing"
)

func ExampleRevision() {
	before := NewRevision(1, 9500)
	after := NewRevision(2, 9321)
	fmt.Println(before, after, after > before)
	// Output: 1:9500 2:9321 true
}

func TestRevision(t *testing.T) {
	ascending := []Revision{
		0, 1, NewRevision(0, maxRevisionNumber), NewRevision(1, 0), NewRevision(1, 7), NewRevision(2, 3),
		NewRevision(maxRevisionEra, 0), NewRevision(maxRevisionEra+1, maxRevisionNumber+1),
	}
	if !slices.IsSorted(ascending) {
		t.Errorf("%v is not in ascending order", ascending)
	}
	for _, r := range ascending {
		if again := NewRevision(r.Era(), r.Number()); again != r {
			t.Errorf("%v became %v", r, again)
		}
	}
	if Revision(12) != NewRevision(0, 12) {
		t.Error("a plain number is not a revision without an era")
	}
}
