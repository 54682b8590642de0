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

// pool keeps one connection to each peer of the view. One is enough: HTTP/2 multiplexes a snapshot
// with small calls. A second pooled connection would only help when the first one is silent, and
// then call opens a new one anyway.
type pool struct {
	options []grpc.DialOption

	mu          sync.Mutex // guards the fields below
	connections map[string]*connection
	retained    map[string]bool
	closed      bool
}

func newPool(o Options, s Settings, traffic *Traffic) *pool {
	return &pool{
		options:     dialOptions(o, s, traffic),
		connections: map[string]*connection{},
		retained:    map[string]bool{},
	}
}

// dialOptions disables the resolver, proxy, service config and retries of gRPC. A failed call is
// retried only by Node.call, because the retry has to use a new connection.
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

// newConnection returns a new connection, which is established by its first call.
func (p *pool) newConnection(address string) (*connection, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, client: peerpb.NewPeerClient(conn)}, nil
}

// get returns the pooled connection to an address, or nil.
func (p *pool) get(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections[address]
}

// put adds a connection that has just answered, if its address is retained and has no connection
// yet. Otherwise it closes the connection.
func (p *pool) put(address string, c *connection) {
	p.mu.Lock()
	keep := p.retained[address] && p.connections[address] == nil && !p.closed
	if keep {
		p.connections[address] = c
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// drop closes a connection that has failed and removes it from the pool.
func (p *pool) drop(address string, c *connection) {
	p.mu.Lock()
	if p.connections[address] == c {
		delete(p.connections, address)
	}
	p.mu.Unlock()
	c.close()
}

// retain sets the addresses whose connections are kept, and closes all other pooled connections.
func (p *pool) retain(addresses map[string]bool) {
	p.mu.Lock()
	p.retained = addresses
	var removed []*connection
	for address, c := range p.connections {
		if !addresses[address] {
			delete(p.connections, address)
			removed = append(removed, c)
		}
	}
	p.mu.Unlock()
	for _, c := range removed {
		c.close()
	}
}

// close closes all pooled connections. Connections that are put later are closed as well.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.retain(map[string]bool{})
}
