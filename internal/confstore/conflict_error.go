package confstore

import (
	"encoding/json"
	"fmt"

	"geraniumcroft/internal/config"
)

// ConflictError reports that the entity is not at the revision that the author of the
// proposal has read. Nothing was written.
type ConflictError struct {
	Kind config.EntityKind
	Name string
	// Current is the entity as JSON. It is null if the entity does not exist; Revision is
	// then 0.
	Current  json.RawMessage
	Revision uint64
	// Wanted is the revision that the author has read.
	Wanted uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s is at revision %d, not %d", e.Kind, e.Name, e.Revision, e.Wanted)
}
