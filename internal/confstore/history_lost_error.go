package confstore

import "fmt"

// HistoryLostError reports that the table's newest version is older than the version in
// force on this VM, because the table was restored from an older copy. This VM keeps its
// snapshot and writes nothing, as a new change would get a version that is already in
// force.
type HistoryLostError struct {
	// Have is the version in force on this VM, Table the newest version in the table.
	Have  uint64
	Table uint64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("version %d is in force here, but the table ends at %d", e.Have, e.Table)
}
