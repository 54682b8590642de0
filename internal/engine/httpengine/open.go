package httpengine

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/transport"
)

var errNotReady = errors.New("the engine's first event was not ready")

// Open implements engine.Client. The stream lives until Close or until ctx ends.
func (c *Client) Open(ctx context.Context, address string, open engine.StageOpen) (engine.Stream, error) {
	failure := &engine.OpenError{Address: address}
	req, err := newRequest(context.Background(), http.MethodPost, address, "/v1/stages", open)
	if err != nil {
		failure.Cause = err
		return nil, failure
	}
	start := time.Now()
	wire, err := c.connect(ctx, address)
	if err != nil {
		failure.Cause = err
		return nil, failure
	}
	wire.Until(start.Add(c.settings.OpenTimeout))
	s := newStream(ctx, c, address, wire)
	if err := s.begin(req, failure); err != nil {
		failure.Cause = s.why(err)
		failure.Busy = isBusy(failure.Cause)
		if transport.IsSilence(failure.Cause) {
			c.pool.Suspect(address)
		}
		s.Close()
		return nil, failure
	}
	return s, nil
}

func isBusy(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Code == CodeBusy
}

func (c *Client) connect(ctx context.Context, address string) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.OpenTimeout)
	defer cancel()
	return c.pool.Connect(ctx, address, c.settings.OpenTimeout)
}

// begin sends the request and waits for the ready event. It notes in failure what
// is known of the request, should it not come.
func (s *stream) begin(req *http.Request, failure *engine.OpenError) (err error) {
	failure.Sent, err = s.wire.Send(req)
	if err != nil {
		return err
	}
	resp, err := s.wire.ReadHead(req, maxRefusalMessage)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		failure.Status = resp.StatusCode
		return readRefusal(resp)
	}
	s.body = resp.Body
	s.wire.Limit(math.MaxInt64)
	if err := s.awaitReady(); err != nil {
		return err
	}
	s.wire.Until(time.Time{})
	s.wire.Bound(s.client.settings.SilenceTimeout)
	return nil
}
