package config

// Limits bound what one profile's requests may use. A zero field takes the default.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxTokens bounds the tokens generated for one request.
	MaxTokens int `json:"maxTokens,omitempty"`
	// MaxPromptTokens bounds the prompt.
	MaxPromptTokens int `json:"maxPromptTokens,omitempty"`
	// MaxInFlight bounds the profile's requests in hand on one VM; 0 is unbounded.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// MaxQueueWait bounds the time in the admission queue; 0 leaves the deadline.
	MaxQueueWait Duration `json:"maxQueueWait,omitempty"`
}
