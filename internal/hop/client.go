package hop

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"geraniumcroft/internal/transport"
)

const (
	// maxAsked is how many peers are asked for one connection. With a third of all VMs cut off, two of
	// them would often decline.
	maxAsked = 3
	// answerTimeout is how long a peer may take to answer before the next one is asked as well.
	answerTimeout = 100 * time.Millisecond
	// maxRedialDelay bounds the delay before an unreachable peer is dialled again.
	maxRedialDelay = 500 * time.Millisecond
	// idleTimeout is when an unused connection to a peer is closed.
	idleTimeout = 30 * time.Second
)

// Client opens connections to replicas through peers. It is safe for concurrent use.
type Client struct {
	name     string
	peers    *Peers
	dial     transport.DialFunc
	observer Observer
	logger   *zap.Logger

	// open opens a connection to a replica through a peer. Tests replace it by a simulated network.
	open func(ctx context.Context, peer, address string) (net.Conn, error)

	mu    sync.Mutex // guards the field below
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client for the VM with a name. It connects to peers with dial, whose socket options
// have to end a connection on which a peer is silent.
func NewClient(name string, peers *Peers, dial transport.DialFunc, observer Observer, logger *zap.Logger) *Client {
	c := &Client{name: name, peers: peers, dial: dial, observer: observer, logger: logger, conns: map[string]*grpc.ClientConn{}}
	c.open = c.openStream
	return c
}

// attempt is the result of asking one peer.
type attempt struct {
	peer string
	conn net.Conn
	err  error
}

// Dial opens a connection to a replica through a peer, and asks another peer if the first one declines
// or does not answer in time. A thorough attempt also does so if the first one does not reach the
// replica: it may be cut off and not know it yet. The error is ErrNoPeer, or that of a peer: a *ReplicaError if one was able
// to tell. The remote address of the connection is an Addr.
func (c *Client) Dial(ctx context.Context, address string, thorough bool) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := make(chan attempt, maxAsked)
	var asked []string
	pending, err := 0, error(nil)
	ask := func() {
		peer := c.peers.Pick(asked, time.Now())
		if len(asked) == maxAsked || peer == "" {
			return
		}
		asked = append(asked, peer)
		pending++
		go func() { attempts <- c.ask(ctx, peer, address) }()
	}
	ask()
	for pending > 0 {
		slow := time.NewTimer(answerTimeout)
		select {
		case a := <-attempts:
			pending--
			if a.err == nil {
				go discard(attempts, pending)
				return a.conn, nil
			}
			if err = moreInformative(err, a.err); !aboutReplica(a.err) || thorough {
				ask()
			}
		case <-slow.C:
			c.peers.Avoid(asked[len(asked)-1], unfitTime, time.Now())
			ask()
		}
		slow.Stop()
		if aboutReplica(err) && !thorough {
			go discard(attempts, pending)
			return nil, err
		}
	}
	if err == nil {
		err = ErrNoPeer
	}
	return nil, err
}

// discard closes the connections of the attempts that are not needed any more.
func discard(attempts <-chan attempt, pending int) {
	for range pending {
		if a := <-attempts; a.err == nil {
			_ = a.conn.Close() // unused
		}
	}
}

// aboutReplica reports whether an error says something about the replica.
func aboutReplica(err error) bool {
	_, ok := err.(*ReplicaError)
	return ok
}

// moreInformative returns the error that says more about the replica, or else the earlier one.
func moreInformative(earlier, later error) error {
	if earlier == nil || aboutReplica(later) {
		return later
	}
	return earlier
}

// ask asks one peer for a connection.
func (c *Client) ask(ctx context.Context, peer, address string) attempt {
	c.peers.count(peer, 1)
	conn, err := c.open(ctx, peer, address)
	result := string(resultConnected)
	switch e := err.(type) {
	case nil:
		c.peers.RecordAnswer(peer, true, time.Now())
	case *DeclinedError:
		result = string(resultDeclined)
		c.peers.RecordAnswer(peer, false, time.Now())
	case *ReplicaError:
		result = string(resultUnreached)
	default:
		result = "failed"
		if ctx.Err() == nil {
			c.peers.Avoid(peer, unfitTime, time.Now())
		}
		c.logger.Debug("peer did not pass a connection on", zap.String("peer", peer), zap.Error(e))
	}
	if err != nil {
		c.peers.count(peer, -1)
	}
	c.observer.SentThroughPeer(result)
	return attempt{peer: peer, conn: conn, err: err}
}

// openStream opens a stream to a peer and waits until the peer has connected to the replica. The
// connection outlives ctx.
func (c *Client) openStream(ctx context.Context, peer, address string) (net.Conn, error) {
	streamCtx, cancel := context.WithCancel(context.Background())
	stopped := context.AfterFunc(ctx, cancel)
	stream, err := c.handshake(ctx, streamCtx, peer, address)
	if err == nil && !stopped() {
		err = &PeerError{Peer: peer, Cause: ctx.Err()} // the stream was cancelled
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return newConn(stream, cancel, Addr{Replica: address, Peer: peer}, func() { c.peers.count(peer, -1) }), nil
}

func (c *Client) handshake(ctx, streamCtx context.Context, peer, address string) (grpc.ClientStream, error) {
	peerConn, err := c.peerConn(peer)
	if err != nil {
		return nil, &PeerError{Peer: peer, Cause: err}
	}
	stream, err := peerConn.NewStream(streamCtx, &serviceDesc.Streams[0], connectMethod)
	if err != nil {
		return nil, &PeerError{Peer: peer, Cause: err}
	}
	timeout := transport.DefaultConnectTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	request := connectRequest{Address: address, TimeoutMS: max(1, timeout.Milliseconds()), From: c.name, RequestID: transport.Label(ctx)}
	if err := sendJSON(stream, request); err != nil {
		return nil, &PeerError{Peer: peer, Cause: err}
	}
	var reply connectReply
	if err := receiveJSON(stream, &reply); err != nil {
		return nil, &PeerError{Peer: peer, Cause: err}
	}
	switch reply.Result {
	case resultConnected:
		return stream, nil
	case resultRefused, resultUnreached:
		return nil, &ReplicaError{Peer: peer, Refused: reply.Result == resultRefused, Reason: reply.Reason}
	}
	return nil, &DeclinedError{Peer: peer, Reason: reply.Reason}
}

// peerConn returns the connection to a peer, which is opened when it is first used.
func (c *Client) peerConn(peer string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[peer]; conn != nil {
		return conn, nil
	}
	c.closeUnused()
	backoffConfig := backoff.DefaultConfig
	backoffConfig.MaxDelay = maxRedialDelay
	conn, err := grpc.NewClient("passthrough:///"+peer,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: maxRedialDelay}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return c.dial(ctx, "tcp", address) }))
	if err == nil {
		c.conns[peer] = conn
	}
	return conn, err
}

// closeUnused closes the connections to VMs that are no peers any more and pass nothing on. c.mu is
// held.
func (c *Client) closeUnused() {
	for peer, conn := range c.conns {
		if active, known := c.peers.activeAt(peer); active == 0 && !known {
			c.closeConn(peer, conn)
		}
	}
}

// closeConn closes a connection. c.mu is held.
func (c *Client) closeConn(peer string, conn *grpc.ClientConn) {
	delete(c.conns, peer)
	if err := conn.Close(); err != nil {
		c.logger.Debug("connection to peer not closed", zap.String("peer", peer), zap.Error(err))
	}
}

// Close closes all connections, with those to replicas.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for peer, conn := range c.conns {
		c.closeConn(peer, conn)
	}
}
