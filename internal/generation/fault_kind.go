package generation

// faultKind is the way in which a stage failed.
type faultKind uint8

const (
	// faultRefused: the engine refused the stage.
	faultRefused faultKind = iota
	// faultBusy: the engine refused the stage because it has no free slot. This is not
	// a failure: several VMs send to one engine, and each learns of the requests of the
	// others with a delay.
	faultBusy
	// faultOpen: the stage could not be opened, or it is unknown whether it was.
	faultOpen
	// faultBroken: the stream ended too early.
	faultBroken
	// faultSilent: nothing was received on the stream, not even a heartbeat.
	faultSilent
	// faultReported: an engine reported the failure of a stage.
	faultReported
	// faultSlow: no token arrived in time although the streams are alive.
	faultSlow
	// faultProtocol: an engine violated the protocol.
	faultProtocol
)
