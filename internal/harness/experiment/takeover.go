package experiment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/node"
	"geraniumcroft/internal/orders"
	"geraniumcroft/internal/sleep"
)

const (
	wantedTakeoverMS = 10_000.0
	leaseTimeout     = 30 * time.Second
	leasePoll        = 5 * time.Millisecond
)

// takeover kills the VM that holds the duty of giving orders and measures how long
// until another one holds it. An orderly stop is measured beside it.
func takeover(ctx context.Context, t *Trial) error {
	s, err := newScene(ctx, fleetToday, nil)
	if err != nil {
		return err
	}
	defer s.close()
	killed, err := s.handOver(ctx, (*node.Node).Kill)
	if err != nil {
		return err
	}
	stopped, err := s.handOver(ctx, func(n *node.Node) { n.Stop(ctx) })
	if err != nil {
		return err
	}
	t.limited("holder killed: duty held again after", "ms", killed, atMost(wantedTakeoverMS))
	t.figure("holder stopped in order: duty held again after", "ms", stopped)
	s.finish(t)
	return nil
}

// handOver ends the holder and returns the milliseconds until the duty is held
// again, from the beginning of the end.
func (s *scene) handOver(ctx context.Context, end func(*node.Node)) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	holder, err := s.awaitHolder(ctx)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	s.remove(holder)
	ended := make(chan struct{})
	go func() {
		end(holder)
		close(ended)
	}()
	_, err = s.awaitHolder(ctx)
	took := time.Since(started)
	<-ended
	return float64(took) / float64(time.Millisecond), err
}

func (s *scene) awaitHolder(ctx context.Context) (*node.Node, error) {
	for {
		for _, n := range s.Nodes {
			if _, held := n.Leases().Held(orders.Duty); held {
				return n, nil
			}
		}
		if !sleep.For(ctx, leasePoll) {
			return nil, errors.Wrap(ctx.Err(), "nobody holds the duty")
		}
	}
}

// remove takes a VM that is about to end off the fleet, which then does not stop
// it a second time.
func (s *scene) remove(gone *node.Node) {
	var rest []*node.Node
	for _, n := range s.Nodes {
		if n != gone {
			rest = append(rest, n)
		}
	}
	s.Nodes = rest
}
