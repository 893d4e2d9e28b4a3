package definer

import (
	"cmp"
	"time"
)

// Point is a point in the history of the platform's store: an era and a revision. A
// store that is restored from an older copy begins the next era: it has lost its last
// revisions and uses their numbers again, so that revisions can be compared only within
// an era. The zero value comes before all others.
type Point struct {
	era      uint64
	revision uint64
}

// NewPoint returns the point of a revision in an era; a store without eras is in era 0.
func NewPoint(era, revision uint64) Point { return Point{era: era, revision: revision} }

// Era returns the era.
func (point Point) Era() uint64 { return point.era }

// Revision returns the revision within the era; 0 for the empty store.
func (point Point) Revision() uint64 { return point.revision }

// Compare returns a negative number if point is before other, a positive one if it is
// after other, and 0 if they are equal.
func (point Point) Compare(other Point) int {
	return cmp.Or(cmp.Compare(point.era, other.era), cmp.Compare(point.revision, other.revision))
}

// After reports whether point is after other: in a higher era, or at a higher revision of
// the same era.
func (point Point) After(other Point) bool { return point.Compare(other) > 0 }

// Lease is a lease of the platform's store. Its number is known only in its era: a store
// that is restored from an older copy may have lost the lease and have given the number
// to another client. The zero value is no lease.
type Lease struct {
	number   uint64
	era      uint64
	duration time.Duration
}

// NewLease returns the lease with a number, granted or found in an era, that lasts for
// duration after each renewal; 0 if the duration is unknown.
func NewLease(number, era uint64, duration time.Duration) Lease {
	return Lease{number: number, era: era, duration: duration}
}

// Number returns the lease's number, or 0 for no lease.
func (lease Lease) Number() uint64 { return lease.number }

// Era returns the era in which the lease is known to exist.
func (lease Lease) Era() uint64 { return lease.era }

// Duration returns the time for which the lease lasts after a renewal, or 0 if it is
// unknown.
func (lease Lease) Duration() time.Duration { return lease.duration }
