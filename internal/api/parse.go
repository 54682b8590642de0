package api

import (
	"bytes"
	"encoding/json"
	"errors"
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
