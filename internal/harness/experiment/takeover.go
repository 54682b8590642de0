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
	maxTakeoverMS     = 10_000.0
	leaseTimeout      = 30 * time.Second
	leasePollInterval = 5 * time.Millisecond
)

// takeover kills the VM that holds the lease of the duty of giving orders, and measures the
// time until another VM holds it. It also measures this for an orderly stop.
func takeover(ctx context.Context, t *Trial) error {
	s, err := newSystem(ctx, deploymentVMs, nil)
	if err != nil {
		return err
	}
	defer s.close()
	killed, err := s.measureTakeover(ctx, (*node.Node).Kill)
	if err != nil {
		return err
	}
	stopped, err := s.measureTakeover(ctx, func(n *node.Node) { n.Stop(ctx) })
	if err != nil {
		return err
	}
	t.limited("holder killed: duty held again after", "ms", killed, atMost(maxTakeoverMS))
	t.figure("holder stopped in order: duty held again after", "ms", stopped)
	s.reportViolations(t)
	return nil
}

// measureTakeover ends the holder with end and returns the milliseconds from the call of end
// until another VM holds the duty.
func (s *system) measureTakeover(ctx context.Context, end func(*node.Node)) (float64, error) {
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

// awaitHolder waits until a VM of the fleet holds the duty, and returns it.
func (s *system) awaitHolder(ctx context.Context) (*node.Node, error) {
	for {
		for _, n := range s.Nodes {
			if _, held := n.Leases().Held(orders.Duty); held {
				return n, nil
			}
		}
		if !sleep.For(ctx, leasePollInterval) {
			return nil, errors.Wrap(ctx.Err(), "nobody holds the duty")
		}
	}
}

// remove removes a VM that is about to be ended from the fleet, so that the fleet does not
// stop it a second time.
func (s *system) remove(removed *node.Node) {
	var rest []*node.Node
	for _, n := range s.Nodes {
		if n != removed {
			rest = append(rest, n)
		}
	}
	s.Nodes = rest
}
