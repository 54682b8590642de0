package settings

// Admission bounds the queues.
type Admission struct {
	MaxQueued             int
	MaxQueuedPerWorkspace int
	// UrgentHeadroom is the share of each target's slots that only urgent requests take.
	UrgentHeadroom float64
}
