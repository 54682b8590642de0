package service

// Call is one call to a plain service.
type Call struct {
	RequestID string
	Path      string
	Body      []byte
	// ContentType is the media type of Body; may be empty.
	ContentType string
	// Idempotent says that the router may repeat the call.
	Idempotent bool
	// IdempotencyKey is the caller's key, sent to the service unchanged; may be empty.
	IdempotencyKey string
}
