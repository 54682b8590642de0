package confstore

import "fmt"

// HistoryLostError reports a table that holds less than what is in force here:
// it was restored from an older copy. This VM keeps what it has and writes
// nothing, as a new change would take a version that is already in force.
type HistoryLostError struct {
	Have  uint64
	Table uint64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("version %d is in force here, but the table ends at %d", e.Have, e.Table)
}
