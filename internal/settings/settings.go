package settings

// Settings are all static settings of a process. Sizes are in bytes.
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
	// Relay is filled for relaying VMs alone.
	Relay Relay
}
