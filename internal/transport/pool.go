package transport

import (
	"context"
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Pool opens connections to peers. For control calls it has one HTTP transport per peer, so
// that the idle connections to a single peer can be closed. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dial     DialFunc
	peers    *lru.Cache[string, *http.Transport]
}

// NewPool returns a pool. If dial is nil it uses NewDialer.
func NewPool(s Settings, dial DialFunc) *Pool {
	p := &Pool{settings: s.WithDefaults(), dial: dial}
	if p.dial == nil {
		p.dial = NewDialer(p.settings)
	}
	p.peers, _ = lru.NewWithEvict(p.settings.MaxPeers, onEvict) // fails only for a size below 1
	return p
}

// DialFunc returns the function that the pool dials with.
func (p *Pool) DialFunc() DialFunc { return p.dial }

// WithDial returns a pool with the same settings, another dial function and no connections.
func (p *Pool) WithDial(dial DialFunc) *Pool { return NewPool(p.settings, dial) }

// Connect opens a connection to a peer, IP:port, for one request at a time. ioTimeout bounds
// each read and write on it, see Conn.SetIOTimeout.
func (p *Pool) Connect(ctx context.Context, address string, ioTimeout time.Duration) (*Conn, error) {
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, ioTimeout, p.settings), nil
}

// Transport returns the transport for control calls to a peer: load reports, cancellations and
// orders. It keeps idle connections and does not limit their number in use, so that no call
// waits for another one's connection.
func (p *Pool) Transport(address string) http.RoundTripper {
	if t, ok := p.peers.Get(address); ok {
		return t
	}
	t := p.newTransport()
	if existing, ok, _ := p.peers.PeekOrAdd(address, t); ok {
		return existing
	}
	return t
}

// CloseIdle closes the idle connections to a peer. It is called after one connection to the
// peer was found silent: the idle ones may be silent as well, and a request on one of them
// would run into its full timeout. Connections in use stay open, as each has its own timeout.
func (p *Pool) CloseIdle(address string) {
	if t, ok := p.peers.Peek(address); ok {
		t.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.peers.Purge() }

func (p *Pool) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            p.dial,
		IdleConnTimeout:        p.settings.IdleLifetime,
		MaxIdleConnsPerHost:    p.settings.MaxIdlePerPeer,
		ReadBufferSize:         p.settings.ReadBuffer,
		WriteBufferSize:        p.settings.WriteBuffer,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

func onEvict(_ string, t *http.Transport) { t.CloseIdleConnections() }
