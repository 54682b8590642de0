package peer

import (
	"context"
	"time"
)

const (
	// jitterShare is the share of a period by which timers differ, so that VMs that
	// started together do not stay in step.
	jitterShare = 0.2
	// stopGrace bounds the wait for peers' calls at the end.
	stopGrace = time.Second
)

// Run drives anti-entropy and probes until the context ends.
func (n *Node) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.every(ctx, n.settings.ProbePeriod, n.probeRound)
	}()
	n.refreshView(time.Now())
	n.syncRound()
	n.every(ctx, n.settings.SyncPeriod, n.syncRound)
	<-done
}

func (n *Node) every(ctx context.Context, period time.Duration, round func()) {
	timer := time.NewTimer(n.jittered(period))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			round()
			timer.Reset(n.jittered(period))
		}
	}
}

func (n *Node) jittered(period time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	share := 1 + jitterShare*(n.rng.Float64()-0.5)
	return time.Duration(share * float64(period))
}

// Stop ends all calls and connections. It does not tell peers; Leave does.
func (n *Node) Stop() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	n.cancel()
	n.stopServer()
	n.work.Wait()
	n.pool.close()
}

// stopServer lets calls in hand end, but not for long: a silent connection would
// hold the graceful stop for good.
func (n *Node) stopServer() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.server.GracefulStop()
	}()
	select {
	case <-ended:
	case <-time.After(stopGrace):
		n.server.Stop()
		<-ended
	}
}
