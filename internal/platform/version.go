package platform

import (
	"cmp"
	"fmt"
)

// Version is the position of a state in the history of the platform's store. Versions are ordered by
// era, then by revision: a store that comes back from an older copy starts a new era and gives out
// revisions again that it had given out before.
type Version struct {
	// Era is the store's era. It is 0 if the store names none, and in answers of VMs of an earlier
	// version.
	Era uint64 `json:"era,omitempty"`
	// Revision counts the store's transactions within the era.
	Revision uint64 `json:"revision"`
}

// Compare returns a negative number if v is before other, 0 if they are equal, and a positive number
// if v is after other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

// Before reports whether v is before other.
func (v Version) Before(other Version) bool { return v.Compare(other) < 0 }

// After reports whether v is after other.
func (v Version) After(other Version) bool { return v.Compare(other) > 0 }

// String returns the era and the revision, in the form used in logs.
func (v Version) String() string { return fmt.Sprintf("%d/%d", v.Era, v.Revision) }
