package claim

// SweepResult counts the rows that one sweep read and deleted.
type SweepResult struct {
	Scanned int
	Deleted int
	// Wrapped is true if the sweep reached the last row. The next sweep starts at the
	// first row.
	Wrapped bool
}
