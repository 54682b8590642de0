package config

// TargetKind says what stands behind a target's address.
type TargetKind string

const (
	// KindEngine is a model engine that holds a range of layers.
	KindEngine TargetKind = "engine"
	// KindService is a plain service that answers calls.
	KindService TargetKind = "service"
)
