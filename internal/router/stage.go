package router

// Stage is how far a request in hand has come.
type Stage string

// The stages of a request, in order; a call skips those it does not need.
const (
	StageArrived  Stage = "arrived"
	StageClaiming Stage = "claiming"
	StageQueued   Stage = "queued"
	StageRunning  Stage = "running"
	StageEnding   Stage = "ending"
)
