package api

import (
	"bytes"
	"encoding/json"
)

// unserved holds the fields that are not supported and would change the result. A
// request that sets one is refused, since ignoring it would return something other
// than requested. See commonBody before renaming this type.
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

// responseFormat is the response_format field.
type responseFormat struct {
	Type string `json:"type"`
}

// problem names the first unsupported field that is set, or returns "".
func (u *unserved) problem() string {
	fields := []struct {
		name  string
		value json.RawMessage
	}{
		{"stop", u.Stop}, {"tools", u.Tools}, {"functions", u.Functions}, {"audio", u.Audio},
		{"logprobs", u.Logprobs}, {"echo", u.Echo}, {"suffix", u.Suffix},
	}
	for _, field := range fields {
		if isSet(field.value) {
			return "The field " + field.name + " is not served."
		}
	}
	if u.ResponseFormat != nil && u.ResponseFormat.Type != "" && u.ResponseFormat.Type != "text" {
		return "Only the response_format text is served."
	}
	return ""
}

// isSet reports whether a value is other than absent, null, false, zero or empty.
func isSet(value json.RawMessage) bool {
	switch string(bytes.Join(bytes.Fields(value), nil)) {
	case "", "null", "false", "0", `""`, "[]", "{}":
		return false
	}
	return true
}
