package api

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

const fuzzMaxPieces = 64

// checkParsedBody checks that a body is either refused, or valid JSON with a prompt
// and within the limits.
func checkParsedBody(t *testing.T, body string, p parsedBody, problem string) {
	t.Helper()
	if problem != "" {
		return
	}
	if !json.Valid([]byte(body)) {
		t.Errorf("accepted invalid JSON: %q", body)
	}
	if p.maxTokens < 0 || p.maxTokens > maxTokensLimit || len(p.prompt) == 0 || len(p.prompt) > fuzzMaxPieces {
		t.Errorf("accepted %+v", p)
	}
	for _, piece := range p.prompt {
		if piece == "" || strings.Contains(piece[:len(piece)-1], " ") {
			t.Errorf("piece %q is empty or holds a space before its end", piece)
		}
	}
}

func FuzzChatBody(f *testing.F) {
	f.Add(`{"model":"d","max_tokens":3,"stream":true,"messages":[{"role":"user","content":"a b"}]}`)
	f.Add(`{"model":"d","max_completion_tokens":-3,"messages":[{"role":"user","content":[{"type":"text","text":" "}]}]}`)
	f.Add(`{"model":"d","n":1,"stop":[],"tools":null,"response_format":{"type":"text"},"stream_options":{"include_usage":true},"messages":[{"role":"a","content":null},{"role":"b","content":"\u0000\ud800"}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		p, problem := parseChat([]byte(body), fuzzMaxPieces)
		checkParsedBody(t, body, p, problem)
	})
}

func FuzzCompletionBody(f *testing.F) {
	f.Add(`{"model":"d","max_tokens":3,"prompt":"a  b "}`)
	f.Add(`{"model":"d","prompt":["a"],"echo":false,"suffix":"","best_of":1}`)
	f.Fuzz(func(t *testing.T, body string) {
		p, problem := parseCompletion([]byte(body), fuzzMaxPieces)
		checkParsedBody(t, body, p, problem)
	})
}

func FuzzHeaders(f *testing.F) {
	f.Add("key-1", "1500ms", "Bearer x")
	f.Add("a b", "-1s", "bearer  y ")
	f.Add(strings.Repeat("k", 300), "1e9h", "Basic Zm9v")
	f.Fuzz(func(t *testing.T, key, deadline, bearer string) {
		if got, problem := parseIdempotencyKey([]string{key}, defaultMaxKeyBytes); problem == "" && (got != key || got == "" || len(got) > defaultMaxKeyBytes) {
			t.Errorf("key %q from %q", got, key)
		}
		if got, problem := parseDeadline([]string{deadline}); problem == "" && (got <= 0 || got > 24*time.Hour) {
			t.Errorf("deadline %s from %q", got, deadline)
		}
		if got, problem := parseBearer([]string{bearer}); problem == "" && len(got) > maxBearerBytes {
			t.Errorf("bearer of %d bytes", len(got))
		}
	})
}

// FuzzAppendString checks that encoding/json decodes what appendString encodes.
func FuzzAppendString(f *testing.F) {
	for _, text := range []string{"plain ", "\"\\\n\x00\x7f", "é\u2028", "\xff\xed\xa0\x80", "</script>"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var got string
		if err := json.Unmarshal(appendString(nil, text), &got); err != nil {
			t.Fatal(err)
		}
		// Both replace each invalid byte with one U+FFFD.
		if want := string([]rune(text)); got != want {
			t.Errorf("%q became %q", text, got)
		}
	})
}
