// Package revision orders the states of the platform's object store.
//
// The store numbers its changes. If it is restored from a copy, the numbers of
// the lost changes are given out again, so a number identifies a state only
// together with the era, which the store increases at each restoration.
package revision

import (
	"cmp"
	"fmt"
)

// Revision identifies a state of the store. The zero value is before all
// others.
type Revision struct {
	// Era counts the restorations of the store, from 1 for the lowest that it may
	// report; 0 if it reports none.
	Era int64
	// Number is the number of the last change in the era.
	Number int64
}

// Compare returns a negative number if r is before other, a positive one if it
// is after it, and 0 if they are equal.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Max returns the later of r and other.
func (r Revision) Max(other Revision) Revision {
	if r.Before(other) {
		return other
	}
	return r
}

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the era and the number, separated by a slash.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }
