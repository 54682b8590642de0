package settings

// Settings holds all static settings of a process. Sizes are in bytes unless a field
// says otherwise.
type Settings struct {
	VM        VM
	Callers   Callers
	Admin     Admin
	Peers     Peers
	Platform  Platform
	Admission Admission
	Targets   Targets
	Shutdown  Shutdown
	Log       Log
	Metrics   Metrics
	// Relay and Overload are only set for relaying VMs.
	Relay    Relay
	Overload Overload
}
