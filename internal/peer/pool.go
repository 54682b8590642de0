package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"geraniumcroft/internal/peer/peerpb"
)

const (
	reconnectDelay  = 100 * time.Millisecond
	socketBufferLen = 4 << 10
)

// connection is one connection to a peer.
type connection struct {
	conn   *grpc.ClientConn
	client peerpb.PeerClient
}

func (c *connection) close() { _ = c.conn.Close() }

// pool keeps one connection to each peer of the view. One is enough: HTTP/2
// interleaves a snapshot with small calls, and what a second kept connection
// would add, independence of the first going silent, is had from a new one.
type pool struct {
	options []grpc.DialOption

	mu     sync.Mutex // guards the fields below
	kept   map[string]*connection
	wanted map[string]bool
	closed bool
}

func newPool(o Options, s Settings, traffic *Traffic) *pool {
	return &pool{
		options: dialOptions(o, s, traffic),
		kept:    map[string]*connection{},
		wanted:  map[string]bool{},
	}
}

// dialOptions leave grpc nothing to decide: no resolver, proxy, service config
// or retry of its own. A failed call is retried by Node.call alone, which knows
// that a new connection is what matters.
func dialOptions(o Options, s Settings, traffic *Traffic) []grpc.DialOption {
	dial := o.Dial
	if dial == nil {
		dial = dialTCP(s.KeepAliveTimeout)
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(dialCredentials(o)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn, traffic: traffic}, nil
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: s.KeepAlivePeriod, Timeout: s.KeepAliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 1, MaxDelay: reconnectDelay},
			MinConnectTimeout: s.CallTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithReadBufferSize(socketBufferLen),
		grpc.WithWriteBufferSize(socketBufferLen),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
		grpc.WithNoProxy(),
	}
}

func serverCredentials(o Options) credentials.TransportCredentials {
	if o.TLS == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(o.TLS)
}

func dialCredentials(o Options) credentials.TransportCredentials {
	if o.ClientTLS == nil {
		return insecure.NewCredentials()
	}
	return newClientCredentials(o.ClientTLS)
}

// open returns a new connection, which connects with its first call.
func (p *pool) open(address string) (*connection, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, client: peerpb.NewPeerClient(conn)}, nil
}

// get returns the kept connection to an address, or nil.
func (p *pool) get(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kept[address]
}

// offer keeps a connection that has just answered, when its address is wanted
// and has none, and closes it otherwise.
func (p *pool) offer(address string, c *connection) {
	p.mu.Lock()
	keep := p.wanted[address] && p.kept[address] == nil && !p.closed
	if keep {
		p.kept[address] = c
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// drop closes a connection that failed.
func (p *pool) drop(address string, c *connection) {
	p.mu.Lock()
	if p.kept[address] == c {
		delete(p.kept, address)
	}
	p.mu.Unlock()
	c.close()
}

// want sets the addresses to which connections are kept.
func (p *pool) want(addresses map[string]bool) {
	p.mu.Lock()
	p.wanted = addresses
	var unwanted []*connection
	for address, c := range p.kept {
		if !addresses[address] {
			delete(p.kept, address)
			unwanted = append(unwanted, c)
		}
	}
	p.mu.Unlock()
	for _, c := range unwanted {
		c.close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.want(map[string]bool{})
}
