package enginesim

// The messages of the error events that end a stage's stream.
const (
	messageUnreachable = "the next stage cannot be reached"
	messageReloading   = "the engine loads something else"
	messageSuperseded  = "a newer epoch took over"
)
