package api

import (
	"bytes"
	"encoding/json"
)

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
