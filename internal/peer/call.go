package peer

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"geraniumcroft/internal/peer/peerpb"
)

// attempt is one try of a call on one connection.
type attempt func(ctx context.Context, client peerpb.PeerClient) error

// call makes a call on the kept connection and, should that one be silent or
// broken, once more on a new connection. The failure of a kept connection says
// nothing of the peer: a box between the two may have lost track of it. All
// calls of the protocol are idempotent, so the second try is safe. Only the try
// on a new connection has the whole timeout: a call that was too long for the
// short one loses little, and a silent connection holds nothing up for long.
func (n *Node) call(ctx context.Context, address string, timeout time.Duration, try attempt) error {
	if kept := n.pool.get(address); kept != nil {
		err := tryOnce(ctx, kept, n.settings.CallTimeout, try)
		if !connectionFailed(err) || ctx.Err() != nil {
			return err
		}
		n.pool.drop(address, kept)
		n.count(func(c *Counters) *uint64 { return &c.Reconnects })
	}
	return n.callOnNew(ctx, address, timeout, try)
}

func (n *Node) callOnNew(ctx context.Context, address string, timeout time.Duration, try attempt) error {
	fresh, err := n.pool.open(address)
	if err != nil {
		return err
	}
	err = tryOnce(ctx, fresh, timeout, try)
	if connectionFailed(err) {
		n.count(func(c *Counters) *uint64 { return &c.FailedCalls })
		fresh.close()
		return err
	}
	n.pool.offer(address, fresh)
	return err
}

func tryOnce(ctx context.Context, c *connection, timeout time.Duration, try attempt) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return try(ctx, c.client)
}

func connectionFailed(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled:
		return true
	}
	return false
}
