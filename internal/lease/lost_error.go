package lease

import "fmt"

// LostError reports that this VM may no longer act under a lease.
type LostError struct {
	Duty    string
	Fencing uint64
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("lease of %s with fencing number %d is not held any more", e.Duty, e.Fencing)
}
