package telemetry

// RecorderOptions bounds the number of time series of a Recorder. A zero field takes its
// default.
type RecorderOptions struct {
	// MaxWorkspaces is the number of workspaces with their own series, 200 by default.
	MaxWorkspaces int
	// MaxTargets is the number of targets with their own series, 800 by default.
	MaxTargets int
}
