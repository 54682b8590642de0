package confstore

import (
	"encoding/json"
	"fmt"

	"geraniumcroft/internal/config"
)

// ConflictError reports that the entity is not at the revision that the author
// has read. Nothing was written.
type ConflictError struct {
	Kind config.EntityKind
	Name string
	// Current is the entity as JSON, null when there is none; Revision is 0 then.
	Current  json.RawMessage
	Revision uint64
	// Wanted is the revision that the author has read.
	Wanted uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %s is at revision %d, not %d", e.Kind, e.Name, e.Revision, e.Wanted)
}
