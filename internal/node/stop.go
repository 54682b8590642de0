package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/sleep"
)

const (
	requestsCheckInterval = 20 * time.Millisecond
	// leaveTimeout bounds leaveFleet as a whole: the release of the leases, the announcement to
	// peers and the deletion of the row.
	leaveTimeout = 3 * time.Second
	closeTimeout = 5 * time.Second
)

// Stop ends the node without interrupting a request. It returns once all requests in progress have
// ended, however long their own deadlines allow. If ctx ends before, the remaining requests are
// interrupted.
func (n *Node) Stop(ctx context.Context) {
	n.logger.Info("stopping", zap.Int("inHand", n.router.InHand()))
	n.gate.BeginDrain()
	n.peers.StartLeaving(ctx)
	sleep.For(ctx, n.settings.Shutdown.UnreadyWait)
	n.gate.Stop()
	n.awaitRequests(ctx)
	n.leaveFleet()
	n.close()
	n.logger.Info("stopped")
	_ = n.closeLog()
}

// awaitRequests waits until no request is in progress or ctx ends.
func (n *Node) awaitRequests(ctx context.Context) {
	for n.router.InHand() > 0 && ctx.Err() == nil {
		sleep.For(ctx, requestsCheckInterval)
	}
}

// leaveFleet ends the duties, releases the leases, announces to peers that this VM leaves, and
// deletes its row.
func (n *Node) leaveFleet() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.stopDuties()
	n.duties.Wait()
	n.leases.Release(ctx)
	n.peers.Leave(ctx)
	if err := n.roster.Unregister(ctx); err != nil {
		n.logger.Info("row of this VM not deleted, left to the sweep", zap.Error(err))
	}
}

func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// The listener for callers is closed first. All requests have ended, and Shutdown waits for
	// answers that are still being written.
	_ = n.callers.Shutdown(ctx)
	n.terminate()
}

// Kill ends the node at once, as a crash would as far as the process itself can simulate one: no
// lease is released and no peer is informed.
func (n *Node) Kill() {
	n.gate.Stop()
	_ = n.callers.Close()
	n.terminate()
	_ = n.closeLog()
}

// terminate cancels all work, closes the connections and waits until all goroutines have ended.
func (n *Node) terminate() {
	n.cancel()
	_ = n.adminServer.Close()
	n.peers.Stop()
	n.runner.Wait()
	n.platform.Close()
	n.wiring.Close()
	n.duties.Wait()
	n.work.Wait()
	_ = n.metrics.Close()
}
