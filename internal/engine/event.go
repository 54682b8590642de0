package engine

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events of a stage's stream.
const (
	EventReady     EventKind = "ready"
	EventHeartbeat EventKind = "heartbeat"
	EventToken     EventKind = "token"
	EventDone      EventKind = "done"
	EventError     EventKind = "error"
)

// Event is one message of a stage's stream.
type Event struct {
	Kind EventKind `json:"kind"`
	// RequestID and Epoch identify the generation that the event belongs to.
	RequestID string `json:"requestId"`
	Epoch     uint32 `json:"epoch"`
	// Position counts generated tokens from 0; for EventToken.
	Position int    `json:"position,omitempty"`
	Text     string `json:"text,omitempty"`
	// Trace lists the executions that produced the token, in order; for EventToken.
	Trace []Execution `json:"trace,omitempty"`
	// Finish is "stop" or "length"; for EventDone.
	Finish string `json:"finish,omitempty"`
	// FailedStage is the index of the stage that failed, which may be another one than the
	// stage that reports it; for EventError. Message describes the failure.
	FailedStage int    `json:"blame,omitempty"`
	Message     string `json:"message,omitempty"`
	// ReusedKV counts the positions for which the engine had KV cache; for EventReady.
	ReusedKV int `json:"reusedKV,omitempty"`
}
