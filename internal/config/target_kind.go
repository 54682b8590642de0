package config

// TargetKind says what kind of process a target is.
type TargetKind string

// The kinds of targets.
const (
	// KindEngine is a model engine that holds a range of layers.
	KindEngine TargetKind = "engine"
	// KindService is a plain service that answers calls.
	KindService TargetKind = "service"
)
