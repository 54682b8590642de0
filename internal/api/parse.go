package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
)

// maxTokensLimit bounds the tokens that a caller may ask for; profiles bound them
// further.
const maxTokensLimit = 1 << 24

// parsedBody is what a body of either shape asks for.
type parsedBody struct {
	model        string
	prompt       []string
	maxTokens    int
	stream       bool
	includeUsage bool
}

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

// unserved are fields that change what the answer is. To accept one without
// effect would answer another question than the one asked.
type unserved struct {
	Stop           json.RawMessage `json:"stop"`
	Tools          json.RawMessage `json:"tools"`
	Functions      json.RawMessage `json:"functions"`
	Audio          json.RawMessage `json:"audio"`
	Logprobs       json.RawMessage `json:"logprobs"`
	Echo           json.RawMessage `json:"echo"`
	Suffix         json.RawMessage `json:"suffix"`
	ResponseFormat *responseFormat `json:"response_format"`
}

type responseFormat struct {
	Type string `json:"type"`
}

func (u *unserved) problem() string {
	fields := []struct {
		name  string
		value json.RawMessage
	}{
		{"stop", u.Stop}, {"tools", u.Tools}, {"functions", u.Functions}, {"audio", u.Audio},
		{"logprobs", u.Logprobs}, {"echo", u.Echo}, {"suffix", u.Suffix},
	}
	for _, field := range fields {
		if asksForSomething(field.value) {
			return "The field " + field.name + " is not served."
		}
	}
	if u.ResponseFormat != nil && u.ResponseFormat.Type != "" && u.ResponseFormat.Type != "text" {
		return "Only the response_format text is served."
	}
	return ""
}

// asksForSomething reports whether a value is other than null, false, zero or empty.
func asksForSomething(value json.RawMessage) bool {
	switch string(bytes.Join(bytes.Fields(value), nil)) {
	case "", "null", "false", "0", `""`, "[]", "{}":
		return false
	}
	return true
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

// decode reads one JSON object and nothing after it.
func decode(body []byte, into any) string {
	if trimmed := bytes.TrimLeft(body, " \t\r\n"); len(trimmed) == 0 || trimmed[0] != '{' {
		return "The body is not a JSON object."
	}
	err := json.Unmarshal(body, into)
	if err == nil {
		return ""
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return "The field " + wrongType.Field + " has the wrong type."
	}
	return "The body is not valid JSON of this shape."
}

// prompt cuts texts into pieces that count as tokens.
type prompt struct {
	pieces    []string
	maxPieces int
	tooLong   bool
}

func (p *prompt) add(text string) {
	if text == "" || p.tooLong {
		return
	}
	// Counted first, so that a body of blanks costs no more than it may.
	if len(p.pieces)+strings.Count(text, " ")+1 > p.maxPieces {
		p.tooLong = true
		return
	}
	pieces := strings.SplitAfter(text, " ")
	if pieces[len(pieces)-1] == "" {
		pieces = pieces[:len(pieces)-1]
	}
	p.pieces = append(p.pieces, pieces...)
}

func (p *prompt) problem() string {
	switch {
	case p.tooLong:
		return "The prompt has too many words."
	case len(p.pieces) == 0:
		return "The prompt is empty."
	}
	return ""
}
