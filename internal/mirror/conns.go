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
	// maxRetryDelay bounds the pause before a peer that was away is dialled again.
	maxRetryDelay = time.Second
	// idleTimeout closes connections to peers that are not asked any more.
	idleTimeout = 30 * time.Second
	// maxMessage bounds an answer; the store itself holds no more in a table's answer.
	maxMessage = 8 << 20
)

// invoke calls a peer's method. An error of code NotFound is the peer's own answer; any other
// means that it was not heard.
func (c *Client) invoke(ctx context.Context, address, method string, request any) (*wrapperspb.BytesValue, error) {
	conn, err := c.conn(address)
	if err != nil {
		c.logger.Warn("peer not dialled", zap.String("peer", address), zap.Error(err))
		return nil, err
	}
	body, err := json.Marshal(request)
	if err != nil {
		c.logger.Error("call of a peer not encoded", zap.Error(err))
		return nil, err
	}
	reply := &wrapperspb.BytesValue{}
	if err := conn.Invoke(ctx, method, wrapperspb.Bytes(body), reply); err != nil {
		c.logger.Debug("peer not heard", zap.String("peer", address), zap.Error(err))
		if status.Code(err) != codes.NotFound {
			c.drop(address, conn)
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
