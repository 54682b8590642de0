package engine

// StageOpen is the request to start one stage of a generation.
type StageOpen struct {
	RequestID string `json:"requestId"`
	// Epoch increases each time the request's stages change. Engines drop what a stage of
	// an older epoch sends.
	Epoch   uint32 `json:"epoch"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	// Priority is the request's priority in the engine's scheduler; higher goes first.
	Priority int `json:"priority"`
	// Hops lists all stages in order; Index is that of the stage to open.
	Hops  []Hop `json:"hops"`
	Index int   `json:"index"`
	// Prompt is the complete prompt. Committed are the tokens that the caller already has;
	// generation continues at position len(Committed).
	Prompt    []string `json:"prompt"`
	Committed []string `json:"committed,omitempty"`
	MaxTokens int      `json:"maxTokens"`
	// KeepKV asks the engine to keep the request's KV cache for a while after a
	// cancel, so that it can resume without a replay.
	KeepKV bool `json:"keepKV,omitempty"`
	// ImportKVFrom is the address of an engine from which to import the KV cache of this
	// request and these layers before the start. If empty, the engine replays.
	ImportKVFrom string `json:"importKVFrom,omitempty"`
}
