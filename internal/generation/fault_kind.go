package generation

// faultKind says how a stage failed.
type faultKind uint8

const (
	// faultRefused: the engine answered that it does not take the stage.
	faultRefused faultKind = iota
	// faultBusy: the engine answered that it has no free slot. That is no failure:
	// several VMs send to one engine and each knows of the others with a delay.
	faultBusy
	// faultOpen: the stage could not be opened, or nobody knows whether it was.
	faultOpen
	// faultBroken: the stream ended too early.
	faultBroken
	// faultSilent: the stream brought nothing, not even a heartbeat.
	faultSilent
	// faultReported: an engine reported the failure of a stage.
	faultReported
	// faultSlow: no token came in time although the streams live.
	faultSlow
	// faultProtocol: an engine sent what it must not.
	faultProtocol
)
