package enginesim

// What a stage's last event says of its end.
const (
	messageUnreach    = "the next stage cannot be reached"
	messageReloading  = "the engine loads something else"
	messageSuperseded = "a newer epoch took over"
)
