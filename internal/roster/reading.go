package roster

import "time"

// reading is one reading of the rows, after the commit of a version.
type reading struct {
	version uint64
	at      time.Time
}
