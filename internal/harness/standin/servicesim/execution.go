package servicesim

// Execution records one execution of a call.
type Execution struct {
	RequestID      string `json:"requestId"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Path           string `json:"path"`
	Body           string `json:"body"`
}
