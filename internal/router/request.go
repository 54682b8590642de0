package router

import (
	"time"

	"geraniumcroft/internal/secret"
)

// Metadata is what every request has in addition to its body.
type Metadata struct {
	// RequestID is unique. The API generates it on arrival.
	RequestID string
	// Profile is the name of the profile, as sent by the caller.
	Profile string
	// BearerKey is the caller's key, zero if none was sent.
	BearerKey secret.Value
	// IdempotencyKey is the caller's idempotency key, empty if none was sent. It is never
	// logged.
	IdempotencyKey string
	// CallerTimeout is the caller's time limit from the arrival on. If it is 0, only the
	// profile's deadline applies.
	CallerTimeout time.Duration
	// Arrival is the time at which the request's head was read.
	Arrival time.Time
	// BodyBytes is the size of the body, Digest its SHA-256.
	BodyBytes int64
	Digest    [32]byte
}

// GenerateRequest is a request for a generation.
type GenerateRequest struct {
	Metadata
	// Prompt is the prompt, split into pieces that count as tokens.
	Prompt []string
	// MaxTokens is the caller's limit. If it is 0, the profile's limit applies.
	MaxTokens int
}

// GenerateResult describes a complete generation.
type GenerateResult struct {
	Tokens int
	// Finish is the finish reason, "stop" or "length".
	Finish string
	// Epochs is the number of epochs of the generation. It is 1 if there was no failure or
	// preemption.
	Epochs int
}

// TokenSink receives the tokens of a generation in order, each once. An error means that
// the caller has left, and ends the generation.
type TokenSink interface {
	Token(position int, text string) error
}

// CallRequest is a request for a call of a plain service.
type CallRequest struct {
	Metadata
	Body        []byte
	ContentType string
}

// CallResult is the complete response of a plain service.
type CallResult struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed reports whether the response was stored by an earlier request with the same
	// idempotency key.
	Replayed bool
}
