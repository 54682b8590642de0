package transport

import (
	"context"
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Pool makes connections. For control calls it hands out an HTTP transport for
// each peer, so that the idle connections to one peer can be dropped alone. It is
// safe for concurrent use.
type Pool struct {
	settings Settings
	dial     DialFunc
	peers    *lru.Cache[string, *http.Transport]
}

// NewPool returns a pool; a nil dial takes NewDialer's.
func NewPool(s Settings, dial DialFunc) *Pool {
	p := &Pool{settings: s.WithDefaults(), dial: dial}
	if p.dial == nil {
		p.dial = NewDialer(p.settings)
	}
	p.peers, _ = lru.NewWithEvict(p.settings.MaxPeers, closeIdle) // fails only for a size below 1
	return p
}

// Connect dials a peer, IP:port. The connection carries one request at a time, and
// no wait for bytes on it is longer than silence.
func (p *Pool) Connect(ctx context.Context, address string, silence time.Duration) (*Conn, error) {
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, silence, p.settings), nil
}

// Transport returns the transport that keeps connections to a peer for control calls:
// load reports, cancels, orders. It has no limit on connections, so that no call
// waits for another one's.
func (p *Pool) Transport(address string) http.RoundTripper {
	if t, ok := p.peers.Get(address); ok {
		return t
	}
	t := p.newTransport()
	if earlier, ok, _ := p.peers.PeekOrAdd(address, t); ok {
		return earlier
	}
	return t
}

// CloseIdle drops the idle connections to a peer, because one connection to it was
// found silent. The others may have gone silent with it, and a request sent on one
// would wait its whole bound for nothing. Connections in use stay, as each has a
// bound of its own.
func (p *Pool) CloseIdle(address string) {
	if t, ok := p.peers.Peek(address); ok {
		t.CloseIdleConnections()
	}
}

// Close drops all idle connections.
func (p *Pool) Close() { p.peers.Purge() }

func (p *Pool) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		IdleConnTimeout:        p.settings.IdleLifetime,
		MaxIdleConnsPerHost:    p.settings.MaxIdlePerPeer,
		ReadBufferSize:         p.settings.ReadBuffer,
		WriteBufferSize:        p.settings.WriteBuffer,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func closeIdle(_ string, t *http.Transport) { t.CloseIdleConnections() }
