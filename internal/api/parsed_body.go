package api

import (
	"bytes"
	"encoding/json"
	"errors"
)

// maxTokensLimit is the most tokens that a caller may request. Profiles have lower
// limits.
const maxTokensLimit = 1 << 24

// parsedBody is the content of a request body, independent of its format.
type parsedBody struct {
	model        string
	prompt       []string
	maxTokens    int
	stream       bool
	includeUsage bool
}

// decodeObject decodes a body that must be a single JSON object. It returns what is
// wrong with the body, or "".
func decodeObject(body []byte, into any) string {
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
