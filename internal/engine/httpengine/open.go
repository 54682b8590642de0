package httpengine

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
)

var (
	errNotReadyInTime = errors.New("the engine was not ready in time")
	errNotReady       = errors.New("the engine's first event was not ready")
)

// Open implements engine.Client. The stream lives until Close or until ctx ends.
func (c *Client) Open(ctx context.Context, address string, open engine.StageOpen) (engine.Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(c.settings.OpenTimeout, func() { cancel(errNotReadyInTime) })
	var left atomic.Bool
	req, err := newRequest(ctx, http.MethodPost, address, "/v1/stages", open, &left)
	if err != nil {
		cancel(nil)
		return nil, &engine.OpenError{Address: address, Cause: err}
	}
	resp, err := c.pool.Fresh().RoundTrip(req)
	if err != nil {
		err = c.openFailed(ctx, address, err)
		cancel(nil)
		return nil, &engine.OpenError{Address: address, Sent: left.Load(), Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		refused := readRefusal(resp)
		cancel(nil)
		_ = resp.Body.Close()
		return nil, &engine.OpenError{Address: address, Sent: true, Status: resp.StatusCode, Cause: refused}
	}
	s := newStream(c, address, resp.Body, cancel)
	if err := s.awaitReady(); err != nil {
		err = c.openFailed(ctx, address, err)
		s.Close()
		return nil, &engine.OpenError{Address: address, Sent: true, Cause: err}
	}
	timer.Stop()
	if ctx.Err() != nil {
		s.Close()
		return nil, &engine.OpenError{Address: address, Sent: true, Cause: context.Cause(ctx)}
	}
	s.ctx = ctx
	return s, nil
}

// openFailed returns why an open failed, the bound rather than the cancelled read.
func (c *Client) openFailed(ctx context.Context, address string, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return err
	}
	if errors.Is(cause, errNotReadyInTime) {
		c.pool.Suspect(address)
	}
	return cause
}
