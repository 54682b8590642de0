package api

// commonBody holds the fields that both shapes have and that matter here. All
// other fields (temperature, user, ...) tune the engine or name the caller; they
// are accepted and have no effect.
type commonBody struct {
	Model         string         `json:"model"`
	MaxTokens     *int           `json:"max_tokens"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	N             *int           `json:"n"`
	BestOf        *int           `json:"best_of"`
	unserved
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (b *commonBody) parsed(maxTokens *int) (parsedBody, string) {
	p := parsedBody{model: b.Model, stream: b.Stream}
	p.includeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	switch {
	case maxTokens != nil && (*maxTokens < 1 || *maxTokens > maxTokensLimit):
		return p, "The number of tokens is not between 1 and 16777216."
	case b.N != nil && *b.N != 1, b.BestOf != nil && *b.BestOf != 1:
		return p, "Only one choice a request is served."
	}
	if maxTokens != nil {
		p.maxTokens = *maxTokens
	}
	return p, b.unserved.problem()
}
