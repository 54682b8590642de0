package httpservice

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/service"
	"geraniumcroft/internal/transport"
)

const loadPath = "/v1/load"

// Client implements service.Client.
type Client struct {
	pool     *transport.Pool
	settings Settings
	idle     *idleConns
}

var _ service.Client = (*Client)(nil)

// New returns a client that makes its connections with pool.
func New(pool *transport.Pool, s Settings) *Client {
	s = s.WithDefaults()
	return &Client{pool: pool, settings: s, idle: newIdleConns(s)}
}

// Connect implements service.Client.
func (c *Client) Connect(ctx context.Context, address string, fresh bool) (service.Conn, error) {
	if !fresh {
		if idle := c.idle.take(address); idle != nil {
			return idle, nil
		}
	}
	transportConn, err := c.pool.Connect(ctx, address, c.settings.SilenceTimeout)
	if err != nil {
		return nil, &service.CallError{Address: address, Cause: err}
	}
	return &conn{client: c, address: address, transportConn: transportConn, lastActive: time.Now()}, nil
}

// Load implements service.Client. Load reports use connections of their own, so that
// they neither wait for calls nor delay them.
func (c *Client) Load(ctx context.Context, address string) (engine.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.LoadTimeout)
	defer cancel()
	var report engine.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+loadPath, nil)
	if err != nil {
		return report, err
	}
	resp, err := c.pool.Transport(address).RoundTrip(req)
	if err != nil {
		c.suspectIfSilent(ctx, address)
		return report, errors.Wrap(err, "load report")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, errors.Newf("load report: status %d", resp.StatusCode)
	}
	body, err := transport.ReadAll(resp.Body, c.settings.MaxBodyBytes)
	if err != nil {
		c.suspectIfSilent(ctx, address)
		return report, errors.Wrap(err, "load report")
	}
	return report, errors.Wrap(json.Unmarshal(body, &report), "load report")
}

// suspectIfSilent drops the idle connections to a peer if the time limit has passed.
func (c *Client) suspectIfSilent(ctx context.Context, address string) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.suspect(address)
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.idle.closeAll() }

// suspect closes all idle connections to a peer after one of its connections was found
// silent.
func (c *Client) suspect(address string) {
	c.idle.closeAllTo(address)
	c.pool.CloseIdle(address)
}
