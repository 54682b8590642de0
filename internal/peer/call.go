package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"geraniumcroft/internal/peer/peerpb"
)

// callFunc makes one attempt of a call on one connection.
type callFunc func(ctx context.Context, client peerpb.PeerClient) error

// call makes a call on the pooled connection and, if that connection is silent or broken, once more
// on a new one. The failure of a pooled connection says nothing about the peer, because a middlebox
// may have lost the state of the connection. All calls of the protocol are idempotent, so the
// second attempt is safe.
//
// Only the attempt on a new connection gets the whole timeout; the one on the pooled connection
// gets CallTimeout. A call that needs longer than that loses little time, and a silent connection
// does not delay a call for long.
func (n *Node) call(ctx context.Context, address string, timeout time.Duration, fn callFunc) error {
	if pooled := n.pool.get(address); pooled != nil {
		err := callOnce(ctx, pooled, n.settings.CallTimeout, fn)
		if !connectionFailed(err) || ctx.Err() != nil {
			return err
		}
		n.pool.drop(address, pooled)
		n.count(func(c *Counters) *uint64 { return &c.Reconnects })
	}
	return n.callOnNewConnection(ctx, address, timeout, fn)
}

// callOnNewConnection makes a call on a new connection and returns that connection to the pool
// unless it failed.
func (n *Node) callOnNewConnection(ctx context.Context, address string, timeout time.Duration, fn callFunc) error {
	fresh, err := n.pool.newConnection(address)
	if err != nil {
		return err
	}
	err = callOnce(ctx, fresh, timeout, fn)
	if connectionFailed(err) {
		n.count(func(c *Counters) *uint64 { return &c.FailedCalls })
		fresh.close()
		return err
	}
	n.pool.put(address, fresh)
	return err
}

func callOnce(ctx context.Context, c *connection, timeout time.Duration, fn callFunc) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return fn(ctx, c.client)
}

// connectionFailed reports whether the error may be due to the connection rather than to the peer.
func connectionFailed(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return true
	}
	return false
}
