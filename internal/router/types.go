package router

import (
	"time"

	"geraniumcroft/internal/secret"
)

// Metadata is what every request carries besides its body.
type Metadata struct {
	// RequestID is unique; the API makes it on arrival.
	RequestID string
	// Profile is the name that the caller gave.
	Profile string
	// BearerKey is the caller's key, zero when none was sent.
	BearerKey secret.Value
	// IdempotencyKey is the caller's, empty when none was sent. It is never logged.
	IdempotencyKey string
	// CallerTimeout is the caller's own bound from arrival; 0 leaves the profile's.
	CallerTimeout time.Duration
	// Arrival is when the request's head was read.
	Arrival time.Time
	// BodyBytes is the size of the body, Digest its SHA-256.
	BodyBytes int64
	Digest    [32]byte
}

// GenerateRequest asks for a generation.
type GenerateRequest struct {
	Metadata
	// Prompt is the prompt cut into pieces that count as tokens.
	Prompt []string
	// MaxTokens is the caller's bound; 0 takes the profile's.
	MaxTokens int
}

// GenerateResult describes a complete generation.
type GenerateResult struct {
	Tokens int
	// Finish is "stop" or "length".
	Finish string
	// Epochs is how many sets of stages worked on it; 1 without a failure.
	Epochs int
}

// TokenSink takes a generation's tokens in order, each once. An error ends the
// generation: the caller is gone.
type TokenSink interface {
	Token(position int, text string) error
}

// CallRequest asks for a call of a plain service.
type CallRequest struct {
	Metadata
	Body        []byte
	ContentType string
}

// CallResult is the whole answer of a plain service.
type CallResult struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed says that the answer was kept from an earlier request with the same key.
	Replayed bool
}
