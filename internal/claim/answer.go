package claim

// MaxKeptAnswer is the largest body, in bytes, that is kept for replay.
const MaxKeptAnswer = 16 << 10

// Answer is a service's whole answer, kept for replay.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
}
