package stall

// Suspicion divides the stages of a stream that stands still.
type Suspicion struct {
	// Suspects may have stopped.
	Suspects []Stage
	// Passed are stages that another stream has passed since.
	Passed []Stage
}

// Suspects looks for the stages that may have stopped. The next event of the stream was due a pace
// after its last one; a stage that another stream has passed after that has not stopped.
func Suspects(stopped Stream, others []Stream) Suspicion {
	due := stopped.LastEvent.Add(stopped.MeanGap)
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
	for _, stage := range stopped.Stages {
		if passed[stage.Address] {
			s.Passed = append(s.Passed, stage)
		} else {
			s.Suspects = append(s.Suspects, stage)
		}
	}
	return s
}
