package mirror

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

const (
	// maxRedialDelay bounds the delay before an unreachable peer is dialled again.
	maxRedialDelay = time.Second
	// idleTimeout is when the connection to a peer that is no longer asked is closed.
	idleTimeout = 30 * time.Second
	// maxMessageBytes bounds an answer, which is packed; maxChangeBytes bounds what it unpacks to.
	maxMessageBytes = 8 << 20
)

// invoke calls a method of a peer. An error with code NotFound is the peer's own answer; with any
// other error the peer counts as not having answered.
func (c *Client) invoke(ctx context.Context, address, method string, request any) (*wrapperspb.BytesValue, error) {
	conn, err := c.conn(address)
	if err != nil {
		c.logger.Warn("connection to peer not created", zap.String("peer", address), zap.Error(err))
		return nil, err
	}
	body, err := json.Marshal(request)
	if err != nil {
		c.logger.Error("request to peer not encoded", zap.Error(err))
		return nil, err
	}
	reply := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, method, wrapperspb.Bytes(body), reply); err != nil {
		c.logger.Debug("request to peer failed", zap.String("peer", address), zap.Error(err))
		if status.Code(err) != codes.NotFound {
			c.dropConn(address, conn)
		}
		return nil, err
	}
	return reply, nil
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	backoffConfig := backoff.DefaultConfig
	backoffConfig.MaxDelay = maxRedialDelay
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: maxRedialDelay}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err == nil {
		c.conns[address] = conn
	}
	return conn, err
}

// dropConn closes a connection on which a request failed: it may have become silent while a new one
// would work.
func (c *Client) dropConn(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	if err := conn.Close(); err != nil {
		c.logger.Debug("connection to peer not closed", zap.String("peer", address), zap.Error(err))
	}
}

// Close closes all connections.
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
