package httpplatform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// response is a whole answer.
type response struct {
	status int
	body   []byte
}

// attempt sends one request once and reads its whole answer. The error is an
// *attemptError.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte) (response, error) {
	bounded, cancel := c.bounded(ctx)
	defer cancel()
	var sent, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// From here on the transport may write at any moment.
		sent.Store(true)
		reused.Store(info.Reused)
	}}
	answer, err := c.roundTrip(httptrace.WithClientTrace(bounded, trace), method, path, body)
	if err == nil {
		return answer, nil
	}
	failure := &attemptError{
		path:     path,
		sent:     sent.Load(),
		reused:   reused.Load(),
		timedOut: errors.Is(bounded.Err(), context.DeadlineExceeded),
		cause:    err,
	}
	if failure.wentSilent() {
		c.suspectIdle()
	}
	return response{}, failure
}

func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.settings.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	// Without GetBody the transport cannot send the body again by itself when a
	// kept connection turns out dead: a commit sent twice is for the caller to weigh.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		return response{}, err
	}
	defer answer.Body.Close()
	limited := io.LimitReader(answer.Body, c.settings.MaxResponseBytes+1)
	read, err := io.ReadAll(limited)
	if err != nil {
		return response{}, err
	}
	if int64(len(read)) > c.settings.MaxResponseBytes {
		return response{}, fmt.Errorf("answer exceeds %d bytes", c.settings.MaxResponseBytes)
	}
	return response{status: answer.StatusCode, body: read}, nil
}

// readAttempt is attempt for operations that may be repeated: one that ran into a
// silent connection is sent again once, on a new connection.
func (c *Client) readAttempt(ctx context.Context, method, path string, body []byte) (response, error) {
	answer, err := c.attempt(ctx, method, path, body)
	var failure *attemptError
	if errors.As(err, &failure) && failure.wentSilent() && ctx.Err() == nil {
		return c.attempt(ctx, method, path, body)
	}
	return answer, err
}
