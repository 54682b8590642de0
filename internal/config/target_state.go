package config

// TargetState is the state that the configuration requests for a target.
type TargetState string

// The states of targets.
const (
	// StateActive targets get new requests.
	StateActive TargetState = "active"
	// StateDraining targets finish their requests in flight and get no new ones. An
	// operator sets it.
	StateDraining TargetState = "draining"
	// StateReloading targets get no new requests either. The lease holder sets it
	// before it reloads a target and ends it once the target is reloaded.
	StateReloading TargetState = "reloading"
)

// TakesWork reports whether the target's state allows new requests.
func (t *Target) TakesWork() bool { return t.State == StateActive }
