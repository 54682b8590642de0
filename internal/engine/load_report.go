package engine

import "time"

// LoadReport is a target's report of its own load. It may be out of date.
type LoadReport struct {
	// At is the time of the report by the target's clock.
	At time.Time `json:"at"`
	// Active and Queued count requests; Slots is the number of requests that the target
	// processes at once.
	Active int `json:"active"`
	Queued int `json:"queued"`
	Slots  int `json:"slots"`
	// TokensPerSecond is the target's current rate.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
	// Leaving says that the target has announced that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
}
