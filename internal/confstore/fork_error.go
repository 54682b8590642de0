package confstore

import "fmt"

// ForkError reports two different changes with the same version: the table lost a part of
// its history, or a peer belongs to another system. Neither change replaces the other. An
// operator has to resolve it.
type ForkError struct {
	Version uint64
	// HaveID is the id of the change in force on this VM, GotID that of the other change.
	HaveID string
	GotID  string
}

// Error implements error.
func (e *ForkError) Error() string {
	return fmt.Sprintf("version %d is change %s here and change %s there", e.Version, e.HaveID, e.GotID)
}
