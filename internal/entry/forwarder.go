package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/platform"
)

// maxForwarded bounds the offers that wait to be forwarded. One that is dropped reaches the other
// VMs when they fetch the table.
const maxForwarded = 64

// forwardedOffer is a peer's offer that this VM passes on.
type forwardedOffer struct {
	table  string
	change platform.TableChange
	age    time.Duration
}

// forwarder passes peers' offers on to the other VMs of this data centre that are asked by peers.
type forwarder struct {
	forward func(ctx context.Context, table string, change platform.TableChange, age time.Duration)
	logger  *zap.Logger
	pending chan forwardedOffer
}

func newForwarder(forward func(context.Context, string, platform.TableChange, time.Duration), logger *zap.Logger) *forwarder {
	return &forwarder{forward: forward, logger: logger, pending: make(chan forwardedOffer, maxForwarded)}
}

// enqueue adds an offer to those that wait. It does not block.
func (f *forwarder) enqueue(o forwardedOffer) {
	select {
	case f.pending <- o:
	default:
		f.logger.Warn("offer not forwarded: too many are pending", zap.String("table", o.table))
	}
}

// run forwards offers until ctx ends. They do not wait for each other, as a peer may be dead.
func (f *forwarder) run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-f.pending:
			work.Go(func() { f.forward(ctx, o.table, o.change, o.age) })
		}
	}
}
