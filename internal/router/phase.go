package router

// Phase is the progress of a request.
type Phase string

// The phases of a request, in order. A request skips those that it does not need.
const (
	PhaseArrived  Phase = "arrived"
	PhaseClaiming Phase = "claiming"
	PhaseQueued   Phase = "queued"
	PhaseRunning  Phase = "running"
	PhaseEnding   Phase = "ending"
)
