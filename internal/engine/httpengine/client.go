package httpengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/transport"
)

const (
	contentTypeJSON    = "application/json"
	maxControlResponse = 8 << 20
	maxRefusalMessage  = 4 << 10
)

// Client implements engine.Client.
type Client struct {
	pool     *transport.Pool
	settings Settings
}

var _ engine.Client = (*Client)(nil)

// New returns a client that makes its connections with pool.
func New(pool *transport.Pool, s Settings) *Client {
	return &Client{pool: pool, settings: s.WithDefaults()}
}

// Cancel implements engine.Client.
func (c *Client) Cancel(ctx context.Context, address, requestID string, epoch uint32) error {
	path := fmt.Sprintf("/v1/stages/%s?epoch=%d", url.PathEscape(requestID), epoch)
	_, err := c.controlCall(ctx, http.MethodDelete, address, path, nil, nil)
	return err
}

// Load implements engine.Client.
func (c *Client) Load(ctx context.Context, address string) (engine.LoadReport, error) {
	var report engine.LoadReport
	_, err := c.controlCall(ctx, http.MethodGet, address, "/v1/load", nil, &report)
	return report, err
}

// CacheEvents implements engine.Client.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (engine.CacheEvents, error) {
	var events engine.CacheEvents
	path := fmt.Sprintf("/v1/cache-events?after=%d", after)
	_, err := c.controlCall(ctx, http.MethodGet, address, path, nil, &events)
	return events, err
}

// State implements engine.Client.
func (c *Client) State(ctx context.Context, address string) (engine.State, error) {
	var state engine.State
	_, err := c.controlCall(ctx, http.MethodGet, address, "/v1/state", nil, &state)
	return state, err
}

// Order implements engine.Client.
func (c *Client) Order(ctx context.Context, address string, order engine.Order) error {
	sent, err := c.controlCall(ctx, http.MethodPost, address, "/v1/orders", order, nil)
	if err == nil {
		return nil
	}
	orderErr := &engine.OrderError{Address: address, Cause: err}
	var refused *RefusedError
	if errors.As(err, &refused) {
		orderErr.OldFencing = refused.Code == CodeOldFencing
		orderErr.Ambiguous = refused.Status >= http.StatusInternalServerError
		return orderErr
	}
	orderErr.Ambiguous = sent
	return orderErr
}

// controlCall makes one call within ControlTimeout. It reports whether the request may have
// been sent, which is so as soon as it has a connection.
func (c *Client) controlCall(ctx context.Context, method, address, path string, in, out any) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ControlTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, address, path, in)
	if err != nil {
		return false, err
	}
	resp, err := c.pool.Transport(address).RoundTrip(req)
	if err != nil {
		c.suspectIfSilent(ctx, address)
		return connected.Load(), errors.Wrapf(err, "%s %s", method, path)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return true, readRefusal(resp)
	}
	err = readResponse(resp.Body, out)
	if err != nil {
		c.suspectIfSilent(ctx, address)
	}
	return true, errors.Wrapf(err, "answer to %s %s", method, path)
}

// suspectIfSilent drops the idle connections to a peer if the time limit has passed.
func (c *Client) suspectIfSilent(ctx context.Context, address string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.pool.CloseIdle(address)
	}
}

// newRequest returns a request that net/http cannot send twice: without GetBody, net/http
// does not send the body again if a connection fails.
func newRequest(ctx context.Context, method, address, path string, in any) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil || in == nil {
		return req, err
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	if check := engine.OrderCheck(ctx); check != nil {
		req.Body = &checkedBody{body: bytes.NewReader(body), check: check}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", contentTypeJSON)
	return req, nil
}

// readRefusal returns the *RefusedError of a response other than success.
func readRefusal(resp *http.Response) error {
	refused := &RefusedError{}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalMessage))
	if err == nil {
		err = json.Unmarshal(body, refused)
	}
	if err != nil {
		refused.Message = "no readable reason"
	}
	refused.Status = resp.StatusCode
	return refused
}

// readResponse decodes a response's body into out, if out is not nil.
func readResponse(body io.ReadCloser, out any) error {
	data, err := transport.ReadAll(body, maxControlResponse)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(data, out)
}
