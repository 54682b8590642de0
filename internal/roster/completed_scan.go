package roster

import "time"

// completedScan is one successful scan of the rows.
type completedScan struct {
	// version is the newest version that is known to have been committed before the scan.
	version uint64
	at      time.Time
}
