package telemetry

// RecorderOptions bound the number of series.
type RecorderOptions struct {
	MaxWorkspaces int
	MaxTargets    int
}
