package config

// TargetState is what operators ask of a target.
type TargetState string

const (
	// StateActive targets take new work.
	StateActive TargetState = "active"
	// StateDraining targets finish what they have in hand and take nothing new.
	StateDraining TargetState = "draining"
)
