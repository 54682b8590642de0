package engine

// StageOpen starts one stage.
type StageOpen struct {
	RequestID string `json:"requestId"`
	// Epoch rises each time the request's stages change; engines drop what an older
	// epoch sends.
	Epoch   uint32 `json:"epoch"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	// Priority is the engine's scheduling priority; higher goes first.
	Priority int `json:"priority"`
	// Hops are all stages in order; Index is the one opened here.
	Hops  []Hop `json:"hops"`
	Index int   `json:"index"`
	// Prompt is the whole prompt and Committed the tokens already given to the
	// caller; generation goes on at position len(Committed).
	Prompt    []string `json:"prompt"`
	Committed []string `json:"committed,omitempty"`
	MaxTokens int      `json:"maxTokens"`
	// KeepKV asks the engine to keep the request's KV cache for a while after a
	// cancel, so that a resume need not replay.
	KeepKV bool `json:"keepKV,omitempty"`
	// ImportKVFrom is the address of an engine that holds KV cache of this request
	// and these layers to import before starting; empty replays.
	ImportKVFrom string `json:"importKVFrom,omitempty"`
}
