package router

// Phase is how far a request in hand has come.
type Phase string

// The stages of a request, in order; a call skips those it does not need.
const (
	PhaseArrived  Phase = "arrived"
	PhaseClaiming Phase = "claiming"
	PhaseQueued   Phase = "queued"
	PhaseRunning  Phase = "running"
	PhaseEnding   Phase = "ending"
)
