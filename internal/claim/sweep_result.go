package claim

// SweepResult is what one sweep did.
type SweepResult struct {
	Scanned int
	Deleted int
	// Wrapped says that the sweep reached the last row; the next starts at the first.
	Wrapped bool
}
