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

// handler answers one request, whose body has already been read.
type handler func(w http.ResponseWriter, body string)

// serve starts a router that answers every request with the handler, and returns its
// address.
func serve(t *testing.T, answer handler) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(headerRequestID, requestID)
		answer(w, string(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// chunk returns a server-sent event with one token.
func chunk(id, text string) string {
	return fmt.Sprintf("data: {\"id\":\"chatcmpl-%s\",\"model\":\"drafts\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, text)
}

func outcomeEvent(outcome string, tokens int) string {
	return fmt.Sprintf("event: outcome\ndata: {\"outcome\":%q,\"tokens\":%d,\"requestId\":%q}\n\n", outcome, tokens, requestID)
}

const streamEnd = "data: [DONE]\n\n"

func streamOf(parts ...string) handler {
	return func(w http.ResponseWriter, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, strings.Join(parts, ""))
	}
}

func refusal(status int, header, outcome string) handler {
	return func(w http.ResponseWriter, _ string) {
		w.Header().Set(headerOutcome, header)
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"outcome":%q,"reason":"overloaded","requestId":%q}`, outcome, requestID)
	}
}

// echoing returns a handler that echoes the body after change.
func echoing(change func(string) string) handler {
	return func(w http.ResponseWriter, body string) {
		w.Header().Set(headerOutcome, "complete")
		_, _ = fmt.Fprintf(w, `{"executed":%q,"echo":%q}`, requestID, change(body))
	}
}

// abortConnection sends one token and then resets the connection.
func abortConnection(w http.ResponseWriter, _ string) {
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, chunk(requestID, "t0 "))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
