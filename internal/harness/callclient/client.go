// Package callclient speaks the callers' API as a service would. The demo and
// the tests of whole routers use it to see what a caller sees.
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

// The headers of the callers' API.
const (
	headerOutcome = "Geraniumcroft-Outcome"
	headerRequest = "Geraniumcroft-Request-Id"
	headerKey     = "Idempotency-Key"
)

// Client calls one VM.
type Client struct {
	// Address is IP:port of a callers' listener.
	Address string
	// HTTP is the client to use; nil takes http.DefaultClient.
	HTTP *http.Client
}

// Call sends a call of a plain service; key may be empty.
func (c Client) Call(ctx context.Context, profile, key string, body []byte) (Answer, error) {
	started := time.Now()
	response, err := c.post(ctx, "/v1/profiles/"+profile+"/calls", key, body)
	if err != nil {
		return Answer{}, err
	}
	return whole(response, started)
}

// Generate asks for a streamed generation. onToken, if not nil, is called with each
// token's number, from 0.
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
		return whole(response, started)
	}
	defer func() { _ = response.Body.Close() }()
	return readStream(response, started, onToken)
}

func (c Client) post(ctx context.Context, path, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// A caller's own library must not send the request twice by itself either.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(headerKey, key)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return client.Do(request)
}

func whole(response *http.Response, started time.Time) (Answer, error) {
	defer func() { _ = response.Body.Close() }()
	answer := head(response)
	body, err := io.ReadAll(response.Body)
	answer.Body = string(body)
	answer.Took = time.Since(started)
	return answer, err
}

func head(response *http.Response) Answer {
	return Answer{
		Status:    response.StatusCode,
		Outcome:   response.Header.Get(headerOutcome),
		RequestID: response.Header.Get(headerRequest),
	}
}

// readStream reads server-sent events up to the outcome.
func readStream(response *http.Response, started time.Time, onToken func(int)) (Answer, error) {
	answer := head(response)
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
		if err := answer.take(event, data, started, onToken); err != nil {
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
