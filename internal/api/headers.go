package api

// The headers of the callers' API besides the standard ones.
const (
	// HeaderOutcome is on every answer; a stream has it as a trailer.
	HeaderOutcome = "Geraniumcroft-Outcome"
	// HeaderRequestID is on every answer.
	HeaderRequestID = "Geraniumcroft-Request-Id"
	// HeaderDeadline is the caller's own bound; it only shortens the profile's.
	HeaderDeadline = "Geraniumcroft-Deadline"
	// HeaderReplayed is on an answer that was kept from an earlier request with the
	// same key.
	HeaderReplayed = "Geraniumcroft-Replayed"
	// HeaderIdempotencyKey names the request across retries.
	HeaderIdempotencyKey = "Idempotency-Key"

	// headerShouldRetry keeps OpenAI clients from repeating by themselves what may
	// have run: they retry on every 409, 429 and 5xx otherwise.
	headerShouldRetry = "X-Should-Retry"
)
