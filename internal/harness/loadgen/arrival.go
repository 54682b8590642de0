package loadgen

import "time"

// Arrival is one request that is to be sent.
type Arrival struct {
	Number int
	// At is the intended time from the run's start.
	At time.Duration
	// Mix is the index of the profile in the mix, Profile the name to send.
	ProfileIndex int
	Profile      string
	Router       string
	// PromptTokens and MaxTokens are this request's.
	PromptTokens int
	MaxTokens    int
}
