package stall

// ProbeResult is the result of a connection attempt to a stage.
type ProbeResult uint8

// The results of a probe.
const (
	// ProbeUnknown means that the stage was not probed, or that the probe failed on this VM.
	ProbeUnknown ProbeResult = iota
	// ProbeAccepted means that the stage accepted the connection.
	ProbeAccepted
	// ProbeRefused means that nothing listens at the stage's address.
	ProbeRefused
	// ProbeTimedOut means that there was no response.
	ProbeTimedOut
)

// ProbedStage is a stage with the result of its probe.
type ProbedStage struct {
	Stage
	ProbeResult ProbeResult
}

// minAlivePerTimeout is how many stages of a data centre must be alive for each one whose probe
// timed out.
const minAlivePerTimeout = 3

// StoppedStages returns the stages that have stopped. A refused connection is proof. A timeout
// counts only if most stages of the same data centre responded or were passed by other streams;
// otherwise the network to them may be cut, or this VM itself may have been delayed. The timeout of
// an entry stage does not count: the connections of new requests may be waiting in its accept queue.
func StoppedStages(probed []ProbedStage, passed []Stage) []Stage {
	alive, timedOut := map[string]int{}, map[string]int{}
	for _, stage := range passed {
		alive[stage.DataCentre]++
	}
	for _, p := range probed {
		switch p.ProbeResult {
		case ProbeAccepted, ProbeRefused:
			alive[p.DataCentre]++
		case ProbeTimedOut:
			if !p.Entry {
				timedOut[p.DataCentre]++
			}
		}
	}
	var stopped []Stage
	for _, p := range probed {
		certain := p.ProbeResult == ProbeRefused
		likely := p.ProbeResult == ProbeTimedOut && !p.Entry && alive[p.DataCentre] >= minAlivePerTimeout*timedOut[p.DataCentre]
		if certain || likely {
			stopped = append(stopped, p.Stage)
		}
	}
	return stopped
}
