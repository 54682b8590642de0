package api

// Non-standard headers of the callers' API.
const (
	// HeaderOutcome is the outcome of the request. Every response except those of
	// the health checks has it; in a stream it is a trailer.
	HeaderOutcome = "Geraniumcroft-Outcome"
	// HeaderRequestID is the request ID. Every response except those of the health
	// checks has it.
	HeaderRequestID = "Geraniumcroft-Request-Id"
	// HeaderDeadline is the caller's time limit as a Go duration. It can shorten the
	// profile's deadline, not extend it.
	HeaderDeadline = "Geraniumcroft-Deadline"
	// HeaderReplayed is "true" on a response that is stored from an earlier request
	// with the same idempotency key.
	HeaderReplayed = "Geraniumcroft-Replayed"
	// HeaderIdempotencyKey identifies a request across the caller's retries.
	HeaderIdempotencyKey = "Idempotency-Key"

	// headerShouldRetry is "false" to stop OpenAI clients from retrying a request
	// that may have run. Without it they retry after every 409, 429 and 5xx.
	headerShouldRetry = "X-Should-Retry"
)
