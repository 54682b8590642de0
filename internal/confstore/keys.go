package confstore

import "fmt"

const (
	headKey     = "config/head"
	snapshotKey = "config/snapshot"
	// changesEnd is the first key after all rows of changes.
	changesEnd = "config/change0"
)

// changeKey pads the version, so that the order of keys is the order of versions.
func changeKey(version uint64) string {
	return fmt.Sprintf("config/change/%020d", version)
}
