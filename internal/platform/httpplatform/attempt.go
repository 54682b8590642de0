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

// response is a complete HTTP response.
type response struct {
	status int
	body   []byte
}

// attempt sends a request once and reads the complete response. The error is an
// *attemptError.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte) (response, error) {
	bounded, cancel := c.withTimeout(ctx)
	defer cancel()
	var sent, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// From here on the transport may write the request at any time.
		sent.Store(true)
		reused.Store(info.Reused)
	}}
	resp, err := c.roundTrip(httptrace.WithClientTrace(bounded, trace), method, path, body)
	if err == nil {
		return resp, nil
	}
	failure := &attemptError{
		path:     path,
		sent:     sent.Load(),
		reused:   reused.Load(),
		timedOut: errors.Is(bounded.Err(), context.DeadlineExceeded),
		cause:    err,
	}
	if failure.connectionSilent() {
		c.dropIdle()
	}
	return response{}, failure
}

func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.settings.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	// Without GetBody the transport cannot resend the body by itself when a kept
	// connection turns out to be dead. Whether a commit may be sent twice is up to the
	// caller.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	resp, err := c.transport.RoundTrip(request)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	limited := io.LimitReader(resp.Body, c.settings.MaxResponseBytes+1)
	read, err := io.ReadAll(limited)
	if err != nil {
		return response{}, err
	}
	if int64(len(read)) > c.settings.MaxResponseBytes {
		return response{}, fmt.Errorf("answer exceeds %d bytes", c.settings.MaxResponseBytes)
	}
	return response{status: resp.StatusCode, body: read}, nil
}

// idempotentAttempt is attempt for operations that may be repeated. A request that timed
// out on a silent connection is sent again once, on a new connection.
func (c *Client) idempotentAttempt(ctx context.Context, method, path string, body []byte) (response, error) {
	resp, err := c.attempt(ctx, method, path, body)
	var failure *attemptError
	if errors.As(err, &failure) && failure.connectionSilent() && ctx.Err() == nil {
		return c.attempt(ctx, method, path, body)
	}
	return resp, err
}
