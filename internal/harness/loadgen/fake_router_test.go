package loadgen

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

const requestID = "request-1"

// script answers one request; the body was read already.
type script func(w http.ResponseWriter, body string)

func serve(t *testing.T, answer script) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(headerRequestID, requestID)
		answer(w, string(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func chunk(id, text string) string {
	return fmt.Sprintf("data: {\"id\":\"chatcmpl-%s\",\"model\":\"drafts\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, text)
}

func outcomeEvent(outcome string, tokens int) string {
	return fmt.Sprintf("event: outcome\ndata: {\"outcome\":%q,\"tokens\":%d,\"requestId\":%q}\n\n", outcome, tokens, requestID)
}

const streamEnd = "data: [DONE]\n\n"

func streamOf(parts ...string) script {
	return func(w http.ResponseWriter, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, strings.Join(parts, ""))
	}
}

func refusal(status int, header, outcome string) script {
	return func(w http.ResponseWriter, _ string) {
		w.Header().Set(headerOutcome, header)
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"outcome":%q,"reason":"overloaded","requestId":%q}`, outcome, requestID)
	}
}

func echoOf(change func(string) string) script {
	return func(w http.ResponseWriter, body string) {
		w.Header().Set(headerOutcome, "complete")
		_, _ = fmt.Fprintf(w, `{"executed":%q,"echo":%q}`, requestID, change(body))
	}
}

// cutOff resets the connection after some tokens.
func cutOff(w http.ResponseWriter, _ string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, chunk(requestID, "t0 "))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
