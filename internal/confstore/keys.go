package confstore

import "fmt"

const (
	headKey     = "config/head"
	snapshotKey = "config/snapshot"
	// changesEnd is the first key after the keys of all changes.
	changesEnd = "config/change0"
)

// changeKey returns the key of the row of a change. The version is padded, so that keys
// sort in the order of versions.
func changeKey(version uint64) string {
	return fmt.Sprintf("config/change/%020d", version)
}
