package api

// usage is the token counts in a response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (g *generation) usage(tokens int) usage {
	return usage{PromptTokens: len(g.Prompt), CompletionTokens: tokens, TotalTokens: len(g.Prompt) + tokens}
}
