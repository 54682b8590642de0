// Package callclient is a client of the callers' API. The demo, the experiments and the
// tests of whole routers use it to observe what a caller observes.
package callclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of the callers' API.
const (
	headerOutcome        = "Geraniumcroft-Outcome"
	headerRequestID      = "Geraniumcroft-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// Client sends requests to one VM. It is safe for concurrent use.
type Client struct {
	// Address is the address, IP:port, of a callers' listener.
	Address string
	// HTTP is the HTTP client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Call calls a plain service. The idempotency key may be empty. A response with an error
// status is an Answer, not an error.
func (c Client) Call(ctx context.Context, profile, key string, body []byte) (Answer, error) {
	started := time.Now()
	response, err := c.post(ctx, "/v1/profiles/"+profile+"/calls", key, body)
	if err != nil {
		return Answer{}, err
	}
	return readWhole(response, started)
}

// Generate requests a streamed generation. onToken, if not nil, is called with the number
// of each token, from 0. A response with an error status is an Answer, not an error.
func (c Client) Generate(ctx context.Context, profile, prompt string, maxTokens int, onToken func(int)) (Answer, error) {
	body, err := json.Marshal(chatRequest{
		Model: profile, Messages: []chatMessage{{Role: "user", Content: prompt}}, MaxTokens: maxTokens, Stream: true,
	})
	if err != nil {
		return Answer{}, err
	}
	started := time.Now()
	response, err := c.post(ctx, "/v1/chat/completions", "", body)
	if err != nil {
		return Answer{}, err
	}
	if response.StatusCode != http.StatusOK {
		return readWhole(response, started)
	}
	defer func() { _ = response.Body.Close() }()
	return readStream(response, started, onToken)
}

func (c Client) post(ctx context.Context, path, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot retry the request.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(headerIdempotencyKey, key)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return client.Do(request)
}

// readWhole reads a response that is not streamed.
func readWhole(response *http.Response, started time.Time) (Answer, error) {
	defer func() { _ = response.Body.Close() }()
	answer := newAnswer(response)
	body, err := io.ReadAll(response.Body)
	answer.Body = string(body)
	answer.Took = time.Since(started)
	return answer, err
}

// newAnswer returns an Answer with the status and the header fields of a response.
func newAnswer(response *http.Response) Answer {
	return Answer{
		Status:    response.StatusCode,
		Outcome:   response.Header.Get(headerOutcome),
		RequestID: response.Header.Get(headerRequestID),
	}
}

// readStream reads server-sent events to the end of the stream. A stream without an
// outcome is an error.
func readStream(response *http.Response, started time.Time, onToken func(int)) (Answer, error) {
	answer := newAnswer(response)
	answer.Outcome = ""
	lines := bufio.NewScanner(response.Body)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		if err := answer.addEvent(event, data, started, onToken); err != nil {
			return answer, err
		}
		event = ""
	}
	answer.Took = time.Since(started)
	if answer.Outcome == "" {
		return answer, errors.CombineErrors(errors.New("the stream ended without an outcome"), lines.Err())
	}
	return answer, nil
}
