package config

// TargetState is what is asked of a target.
type TargetState string

const (
	// StateActive targets take new work.
	StateActive TargetState = "active"
	// StateDraining targets finish what they have in hand and take nothing new; an
	// operator asked for it.
	StateDraining TargetState = "draining"
	// StateReloading targets take nothing new either; the lease holder asked for it
	// because they are to be reloaded, and ends it when they are.
	StateReloading TargetState = "reloading"
)

// TakesWork reports whether the target may get new work as far as its entry says.
func (t *Target) TakesWork() bool { return t.State == StateActive }
