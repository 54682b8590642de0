package mirror

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"geraniumcroft/internal/platform"
)

const (
	// asked is how many peers one question goes to. One may be turned away by the store
	// as well; of two at random, one that is served is likely among them.
	asked = 2
	// askTimeout bounds one round of questions.
	askTimeout = 300 * time.Millisecond
	// maxRetryDelay bounds the pause before a peer that was away is dialled again.
	maxRetryDelay = time.Second
	// idleTimeout closes connections to peers that are not asked any more.
	idleTimeout = 30 * time.Second
	// maxMessage bounds an answer; the store itself holds no more in a table's answer.
	maxMessage = 8 << 20
)

// Client asks peers. It is safe for concurrent use.
type Client struct {
	own    string
	logger *zap.Logger

	mu        sync.Mutex // guards the fields below
	preferred []string
	peers     []string
	conns     map[string]*grpc.ClientConn
}

// NewClient returns a client of a VM whose own address is never asked.
func NewClient(own string, seeds []string, logger *zap.Logger) *Client {
	c := &Client{own: own, logger: logger, conns: map[string]*grpc.ClientConn{}}
	c.SetPeers(nil, seeds)
	return c
}

// SetPeers replaces the addresses, IP:port, that are asked: the preferred ones first,
// the others where none of those answers.
func (c *Client) SetPeers(preferred, others []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred, c.peers = c.withoutOwn(preferred), c.withoutOwn(others)
}

func (c *Client) withoutOwn(addresses []string) []string {
	var rest []string
	for _, address := range addresses {
		if address != c.own {
			rest = append(rest, address)
		}
	}
	return rest
}

// Fetch asks some peers what they have beyond a revision and returns the newest answer,
// with the time since that copy was confirmed. Ok is false when none answered.
func (c *Client) Fetch(ctx context.Context, table string, after uint64) (change platform.TableChange, age time.Duration, ok bool) {
	c.mu.Lock()
	preferred, others := c.preferred, c.peers
	c.mu.Unlock()
	newest, ok := c.fetch(ctx, some(preferred), table, after)
	if !ok {
		newest, ok = c.fetch(ctx, some(others), table, after)
	}
	return newest.TableChange, time.Duration(newest.AgeMS) * time.Millisecond, ok
}

func (c *Client) fetch(ctx context.Context, peers []string, table string, after uint64) (newest answer, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	views := make(chan *answer, len(peers))
	for _, address := range peers {
		go func() { views <- c.ask(ctx, address, table, after) }()
	}
	for range peers {
		view := <-views
		if view == nil {
			continue
		}
		later := view.Revision > newest.Revision || view.Revision == newest.Revision && view.AgeMS < newest.AgeMS
		if !ok || later {
			newest = *view
		}
		ok = true
	}
	return newest, ok
}

// some picks a few of the addresses at random.
func some(addresses []string) []string {
	peers := append([]string(nil), addresses...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(asked, len(peers))]
}

// Offer hands a copy to some of the preferred peers, from which the others learn it. A
// VM that makes something need not be one of those that are asked.
func (c *Client) Offer(ctx context.Context, table string, change platform.TableChange, age time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c.mu.Lock()
	peers := some(c.preferred)
	c.mu.Unlock()
	var offering sync.WaitGroup
	for _, address := range peers {
		offering.Go(func() {
			c.invoke(ctx, address, offerMethod, offered{Table: table, answer: answer{TableChange: change, AgeMS: age.Milliseconds()}})
		})
	}
	offering.Wait()
}

func (c *Client) ask(ctx context.Context, address, table string, after uint64) *answer {
	reply := c.invoke(ctx, address, fetchMethod, question{Table: table, After: after})
	if reply == nil {
		return nil
	}
	var view answer
	if err := json.Unmarshal(reply.GetValue(), &view); err != nil {
		c.logger.Warn("peer's answer not read", zap.String("peer", address), zap.Error(err))
		return nil
	}
	return &view
}

// invoke calls a peer's method. It returns nil when the peer did not answer.
func (c *Client) invoke(ctx context.Context, address, method string, request any) *wrapperspb.BytesValue {
	conn, err := c.conn(address)
	if err != nil {
		c.logger.Warn("peer not dialled", zap.String("peer", address), zap.Error(err))
		return nil
	}
	body, err := json.Marshal(request)
	if err != nil {
		c.logger.Error("call of a peer not encoded", zap.Error(err))
		return nil
	}
	reply := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, method, wrapperspb.Bytes(body), reply); err != nil {
		c.logger.Debug("peer not heard", zap.String("peer", address), zap.Error(err))
		c.drop(address, conn)
		return nil
	}
	return reply
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	delays := backoff.DefaultConfig
	delays.MaxDelay = maxRetryDelay
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: delays, MinConnectTimeout: maxRetryDelay}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err == nil {
		c.conns[address] = conn
	}
	return conn, err
}

// drop closes a connection that did not bring an answer, since it may have gone silent
// while a new one works.
func (c *Client) drop(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	if err := conn.Close(); err != nil {
		c.logger.Debug("connection to peer not closed", zap.String("peer", address), zap.Error(err))
	}
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if err := conn.Close(); err != nil {
			c.logger.Debug("connection to peer not closed", zap.String("peer", address), zap.Error(err))
		}
	}
	clear(c.conns)
}
