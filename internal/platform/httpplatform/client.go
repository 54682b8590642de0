package httpplatform

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"geraniumcroft/internal/platform"
)

var (
	_ platform.Table   = (*Client)(nil)
	_ platform.Objects = (*Client)(nil)
	_ platform.VMList  = (*Client)(nil)
)

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// Client implements platform.Table, platform.Objects and platform.VMList. It is
// safe for concurrent use.
type Client struct {
	settings  Settings
	transport *http.Transport
	silences  atomic.Uint64
}

// New returns a client. It opens no connection before the first operation.
func New(settings Settings) *Client {
	settings = settings.withDefaults()
	dialer := &net.Dialer{Timeout: settings.ConnectTimeout}
	transport := &http.Transport{
		TLSClientConfig:     settings.TLS,
		TLSHandshakeTimeout: settings.ConnectTimeout,
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     settings.IdleTimeout,
		MaxIdleConns:        settings.MaxIdle,
		MaxIdleConnsPerHost: settings.MaxIdle,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{settings: settings, transport: transport}
}

// Close closes unused connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Silences returns how many times an open connection was found to be silent.
func (c *Client) Silences() uint64 { return c.silences.Load() }

// dropIdle closes the idle connections after a connection was found to be silent. A
// firewall that dropped the state of one connection may have dropped that of the others,
// and each of them would cost a full timeout to detect.
func (c *Client) dropIdle() {
	c.silences.Add(1)
	c.transport.CloseIdleConnections()
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.settings.AttemptTimeout)
}
