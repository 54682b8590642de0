package engine

import "time"

// LoadReport is what an engine or service says of its load. It lags.
type LoadReport struct {
	// At is the target's clock when the report was made.
	At     time.Time `json:"at"`
	Active int       `json:"active"`
	Queued int       `json:"queued"`
	Slots  int       `json:"slots"`
	// TokensPerSecond is the target's present rate.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// Leaving says that the target is about to go.
	Leaving bool `json:"leaving,omitempty"`
}
