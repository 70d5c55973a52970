package core

import "fmt"

// Revision orders the values that the platform publishes. The platform's store counts its changes. When
// it comes back from an older copy of itself, a new era begins, in which it gives numbers out again. A
// value of a later era is newer, whatever its number.
//
// A Revision without an era equals its number, as instances of earlier versions send it.
type Revision uint64

const (
	revisionNumberBits = 48
	maxRevisionNumber  = 1<<revisionNumberBits - 1
	maxRevisionEra     = 1<<(64-revisionNumberBits) - 1
)

// NewRevision returns the revision with the number in the era. Both are limited to what a Revision
// holds.
func NewRevision(era, number uint64) Revision {
	return Revision(min(era, maxRevisionEra)<<revisionNumberBits | min(number, maxRevisionNumber))
}

// Era returns the era.
func (r Revision) Era() uint64 { return uint64(r) >> revisionNumberBits }

// Number returns the number within the era.
func (r Revision) Number() uint64 { return uint64(r) & maxRevisionNumber }

// String returns the number, after the era if there is one.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Number())
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Number())
}
