package stall

// Suspicion divides the stages of a stalled stream.
type Suspicion struct {
	// Suspects are the stages that may have stopped.
	Suspects []Stage
	// Passed are the stages that another stream has passed since the stall began.
	Passed []Stage
}

// Suspects returns which stages of a stalled stream may have stopped. The stream's next event was
// due one mean gap after its last one; a stage that another stream has passed after that has not
// stopped.
func Suspects(stalled Stream, others []Stream) Suspicion {
	due := stalled.LastEvent.Add(stalled.MeanGap)
	passed := map[string]bool{}
	for _, other := range others {
		if !other.passed(due) {
			continue
		}
		for _, stage := range other.Stages {
			passed[stage.Address] = true
		}
	}
	var s Suspicion
	for _, stage := range stalled.Stages {
		if passed[stage.Address] {
			s.Passed = append(s.Passed, stage)
		} else {
			s.Suspects = append(s.Suspects, stage)
		}
	}
	return s
}
