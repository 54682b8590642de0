package config

// Limits bound the resources of one profile's requests. A zero field means the default.
type Limits struct {
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxTokens bounds the tokens generated for one request.
	MaxTokens int `json:"maxTokens,omitempty"`
	// MaxPromptTokens bounds the length of the prompt.
	MaxPromptTokens int `json:"maxPromptTokens,omitempty"`
	// MaxInFlight bounds the profile's requests in flight on one VM; 0 is unbounded.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// MaxQueueWait bounds the time in the admission queue; with 0 only the request's
	// deadline bounds it.
	MaxQueueWait Duration `json:"maxQueueWait,omitempty"`
}
