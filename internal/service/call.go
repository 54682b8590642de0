package service

// Call is one call of a plain service.
type Call struct {
	RequestID string
	Path      string
	Body      []byte
	// ContentType of the body.
	ContentType string
	// Idempotent calls may be repeated by the router.
	Idempotent bool
	// IdempotencyKey is the caller's, passed on; may be empty.
	IdempotencyKey string
}
