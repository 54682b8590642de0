package claim

// MaxKeptAnswer is the size in bytes of the largest body that is kept for replay.
const MaxKeptAnswer = 16 << 10

// Answer is the complete response to a request, kept for replay.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
	// Finish is the finish reason of a generation. It is empty for calls, and for answers that VMs
	// of an earlier version have stored.
	Finish string `json:"finish,omitempty"`
}
