package peer

import (
	"context"
	"time"
)

const (
	// jitterFraction is the total range of the jitter as a fraction of the period. VMs that started
	// together would otherwise act at the same times.
	jitterFraction = 0.2
	// stopTimeout bounds the graceful stop of the server, in which calls of peers may end.
	stopTimeout = time.Second
)

// Run performs anti-entropy and probes until ctx ends.
func (n *Node) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.runPeriodically(ctx, n.settings.ProbePeriod, n.probeRound)
	}()
	n.refreshView(time.Now())
	n.syncRound()
	n.runPeriodically(ctx, n.settings.SyncPeriod, n.syncRound)
	<-done
}

// runPeriodically calls round once per jittered period until ctx ends.
func (n *Node) runPeriodically(ctx context.Context, period time.Duration, round func()) {
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
	share := 1 + jitterFraction*(n.rng.Float64()-0.5)
	return time.Duration(share * float64(period))
}

// Stop ends all calls and closes all connections. It does not notify peers; Leave does.
func (n *Node) Stop() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	n.cancel()
	n.stopServer()
	n.work.Wait()
	n.pool.close()
}

// stopServer lets calls in progress end, but only for stopTimeout: a silent connection would delay
// a graceful stop forever.
func (n *Node) stopServer() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.server.GracefulStop()
	}()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		n.server.Stop()
		<-ended
	}
}
