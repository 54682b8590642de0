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
	openErr := &engine.OpenError{Address: address}
	req, err := newRequest(context.Background(), http.MethodPost, address, "/v1/stages", open)
	if err != nil {
		openErr.Cause = err
		return nil, openErr
	}
	start := time.Now()
	conn, err := c.connect(ctx, address)
	if err != nil {
		openErr.Cause = err
		return nil, openErr
	}
	conn.SetDeadline(start.Add(c.settings.OpenTimeout))
	s := newStream(ctx, c, address, conn)
	if err := s.openStage(req, openErr); err != nil {
		openErr.Cause = s.errorCause(err)
		openErr.Busy = isBusy(openErr.Cause)
		if transport.IsTimeout(openErr.Cause) {
			c.pool.CloseIdle(address)
		}
		s.Close()
		return nil, openErr
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

// openStage sends the request and waits for the ready event. It records in openErr whether
// the request was sent and the status of a refusal.
func (s *stream) openStage(req *http.Request, openErr *engine.OpenError) (err error) {
	openErr.Sent, err = s.conn.Send(req)
	if err != nil {
		return err
	}
	resp, err := s.conn.ReadHead(req, maxRefusalMessage)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		openErr.Status = resp.StatusCode
		return readRefusal(resp)
	}
	s.body = resp.Body
	s.conn.SetReadLimit(math.MaxInt64)
	if err := s.awaitReady(); err != nil {
		return err
	}
	s.conn.SetDeadline(time.Time{})
	s.conn.SetIOTimeout(s.client.settings.SilenceTimeout)
	return nil
}
