package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumcroft/internal/engine"
)

// direct sends requests to a stand-in without a router.
type direct struct {
	http *http.Client
}

// draft runs a generation with one stage on an engine and returns the time to the first
// token.
func (d direct) draft(ctx context.Context, hop engine.Hop, id string, tokens int) (time.Duration, error) {
	body, err := json.Marshal(engine.StageOpen{
		RequestID: id, Model: modelName, Version: modelVersion, Hops: []engine.Hop{hop}, Prompt: []string{id}, MaxTokens: tokens,
	})
	if err != nil {
		return 0, err
	}
	started := time.Now()
	response, err := d.post(ctx, "http://"+hop.Address+"/v1/stages", id, body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return firstToken(response.Body, started)
}

// holdStream runs a generation of endlessTokens tokens on an engine and reads it until ctx
// ends. It calls first for each event that has a token.
func (d direct) holdStream(ctx context.Context, hop engine.Hop, id string, first func()) error {
	body, err := json.Marshal(engine.StageOpen{
		RequestID: id, Model: modelName, Version: modelVersion, Hops: []engine.Hop{hop}, Prompt: []string{id}, MaxTokens: endlessTokens,
	})
	if err != nil {
		return err
	}
	response, err := d.post(ctx, "http://"+hop.Address+"/v1/stages", id, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if bytes.Contains(lines.Bytes(), []byte(engine.EventToken)) {
			first()
		}
	}
	return lines.Err()
}

// firstToken reads the stream to its end and returns the time from started to the first
// token. A stream without tokens is an error.
func firstToken(body io.Reader, started time.Time) (first time.Duration, err error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		var event engine.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return 0, err
		}
		if event.Kind == engine.EventToken && first == 0 {
			first = time.Since(started)
		}
	}
	if first == 0 && lines.Err() == nil {
		return 0, io.ErrUnexpectedEOF
	}
	return first, lines.Err()
}

// call calls a plain service and returns the time to the end of the response.
func (d direct) call(ctx context.Context, address, id string, body []byte) (time.Duration, error) {
	started := time.Now()
	response, err := d.post(ctx, "http://"+address+"/lockout", id, body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return time.Since(started), err
}

// post sends a request with the headers that the router sends.
func (d direct) post(ctx context.Context, url, id string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Id", id)
	response, err := d.http.Do(request)
	if err == nil && response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		err = fmt.Errorf("%s answered %s", url, response.Status)
	}
	return response, err
}
