package settings

// Admission holds the bounds of the admission queues.
type Admission struct {
	MaxQueued             int
	MaxQueuedPerWorkspace int
	// UrgentHeadroom is the share of each target's slots that only urgent requests get.
	UrgentHeadroom float64
}
