package servicesim

// Execution is one run of a call.
type Execution struct {
	RequestID      string `json:"requestId"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Path           string `json:"path"`
	Body           string `json:"body"`
}
