package enginesim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/engine/httpengine"
)

// DefaultDirectIdle is the default value of DirectClient.Idle.
const DefaultDirectIdle = 750 * time.Millisecond

var (
	errUnreachable = errors.New("connection refused")
	errIdle        = errors.New("nothing arrived within the bound")
)

// DirectClient is an engine.Client that calls the engines of a fabric directly,
// without a network, so that tests can run parts of a router in virtual time.
type DirectClient struct {
	fabric *Fabric
	// Idle is the time without an event after which a stream counts as silent.
	Idle time.Duration
}

var _ engine.Client = (*DirectClient)(nil)

// NewDirectClient returns a client for the engines of a fabric.
func NewDirectClient(fabric *Fabric) *DirectClient {
	return &DirectClient{fabric: fabric, Idle: DefaultDirectIdle}
}

// Open implements engine.Client.
func (c *DirectClient) Open(ctx context.Context, address string, open engine.StageOpen) (engine.Stream, error) {
	e := c.fabric.Engine(address)
	if e == nil {
		return nil, &engine.OpenError{Address: address, Cause: errUnreachable}
	}
	if err := ctx.Err(); err != nil {
		return nil, &engine.OpenError{Address: address, Cause: err}
	}
	st, refused := e.openStage(open)
	if refused != nil {
		return nil, &engine.OpenError{Address: address, Sent: true, Status: refused.status, Busy: refused.Code == httpengine.CodeBusy, Cause: refused.asError()}
	}
	s := &directStream{client: c, engine: e, stage: st, address: address, ctx: ctx, closed: make(chan struct{})}
	s.bindContext(ctx)
	return s, nil
}

// Cancel implements engine.Client.
func (c *DirectClient) Cancel(_ context.Context, address, requestID string, epoch uint32) error {
	e := c.fabric.Engine(address)
	if e == nil {
		return errUnreachable
	}
	e.cancel(requestID, epoch)
	return nil
}

// Load implements engine.Client.
func (c *DirectClient) Load(_ context.Context, address string) (engine.LoadReport, error) {
	e := c.fabric.Engine(address)
	if e == nil {
		return engine.LoadReport{}, errUnreachable
	}
	return e.Load(), nil
}

// CacheEvents implements engine.Client.
func (c *DirectClient) CacheEvents(_ context.Context, address string, after uint64) (engine.CacheEvents, error) {
	e := c.fabric.Engine(address)
	if e == nil {
		return engine.CacheEvents{}, errUnreachable
	}
	return e.CacheEvents(after), nil
}

// State implements engine.Client.
func (c *DirectClient) State(_ context.Context, address string) (engine.State, error) {
	e := c.fabric.Engine(address)
	if e == nil {
		return engine.State{}, errUnreachable
	}
	return e.State(), nil
}

// Order implements engine.Client.
func (c *DirectClient) Order(_ context.Context, address string, order engine.Order) error {
	e := c.fabric.Engine(address)
	if e == nil {
		return &engine.OrderError{Address: address, Cause: errUnreachable}
	}
	if refused := e.applyOrder(order); refused != nil {
		return &engine.OrderError{Address: address, OldFencing: refused.Code == httpengine.CodeOldFencing, Cause: refused.asError()}
	}
	return nil
}
