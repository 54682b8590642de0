package stall

// ProbeResult is what became of the question to a stage.
type ProbeResult uint8

// The answers of a stage that was asked for a connection.
const (
	// ProbeUnknown: it was not asked, or the question failed here.
	ProbeUnknown ProbeResult = iota
	// ProbeAccepted: it took the connection.
	ProbeAccepted
	// ProbeRefused: nobody listens at its address.
	ProbeRefused
	// ProbeTimedOut: nothing came back.
	ProbeTimedOut
)

// ProbedStage is a stage with its answer.
type ProbedStage struct {
	Stage
	ProbeResult ProbeResult
}

// alivePerSilent is how many stages of a data centre must be alive for each that is silent.
const alivePerSilent = 3

// StoppedStages returns the stages that have stopped. A refusal is certain. Silence counts where
// most stages of the same data centre answered or were passed by other streams: else the way there
// may be cut, or this VM itself held up. An entry's silence says nothing: the connections of new
// requests may wait at its listener.
func StoppedStages(asked []ProbedStage, passed []Stage) []Stage {
	alive, silent := map[string]int{}, map[string]int{}
	for _, stage := range passed {
		alive[stage.DataCentre]++
	}
	for _, a := range asked {
		switch a.ProbeResult {
		case ProbeAccepted, ProbeRefused:
			alive[a.DataCentre]++
		case ProbeTimedOut:
			if !a.Entry {
				silent[a.DataCentre]++
			}
		}
	}
	var stopped []Stage
	for _, a := range asked {
		certain := a.ProbeResult == ProbeRefused
		likely := a.ProbeResult == ProbeTimedOut && !a.Entry && alive[a.DataCentre] >= alivePerSilent*silent[a.DataCentre]
		if certain || likely {
			stopped = append(stopped, a.Stage)
		}
	}
	return stopped
}
