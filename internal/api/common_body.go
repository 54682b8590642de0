package api

// commonBody holds the fields that chat and plain completions share and that have
// an effect. All other fields (temperature, user, ...) are sampling parameters or
// describe the caller; they are accepted and ignored.
//
// encoding/json puts the names of the embedded types commonBody and unserved into
// the field path of a type error, which decodeObject sends to the caller. Renaming
// a type changes that text.
type commonBody struct {
	Model         string         `json:"model"`
	MaxTokens     *int           `json:"max_tokens"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	N             *int           `json:"n"`
	BestOf        *int           `json:"best_of"`
	unserved
}

// streamOptions is the stream_options field.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// parse returns the parsed body without its prompt, and what is wrong with it, or
// "". A nil maxTokens means that the caller sets no limit.
func (b *commonBody) parse(maxTokens *int) (parsedBody, string) {
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
