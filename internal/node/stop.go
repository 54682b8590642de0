package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/sleep"
)

const (
	inHandCheck = 20 * time.Millisecond
	// leaveTimeout bounds each farewell: to the table and to peers.
	leaveTimeout = 3 * time.Second
	closeTimeout = 5 * time.Second
)

// Stop ends the node without cutting off a request. It returns once everything
// in hand has ended, however long the requests' own deadlines allow, unless ctx
// ends before, which then does cut off what is left.
func (n *Node) Stop(ctx context.Context) {
	n.logger.Info("stopping", zap.Int("inHand", n.router.InHand()))
	n.gate.BeginDrain()
	n.peers.StartLeaving(ctx)
	sleep.For(ctx, n.settings.Shutdown.UnreadyWait)
	n.gate.Stop()
	n.awaitInHand(ctx)
	n.farewell()
	n.close()
	n.logger.Info("stopped")
	_ = n.closeLog()
}

func (n *Node) awaitInHand(ctx context.Context) {
	for n.router.InHand() > 0 && ctx.Err() == nil {
		sleep.For(ctx, inHandCheck)
	}
}

func (n *Node) farewell() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.stopDuties()
	n.duties.Wait()
	n.leases.Release(ctx)
	n.peers.Leave(ctx)
	if err := n.roster.Unregister(ctx); err != nil {
		n.logger.Info("row of this VM left behind; the sweep deletes it", zap.Error(err))
	}
}

func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// The listener of callers goes first: what is in hand has ended, and answers
	// that are still being written are waited for.
	_ = n.callers.Shutdown(ctx)
	n.end()
}

// Kill ends the node at once, as a crash does as far as a process can tell of
// itself: nothing is handed back and nobody is told.
func (n *Node) Kill() {
	n.gate.Stop()
	_ = n.callers.Close()
	n.end()
	_ = n.closeLog()
}

func (n *Node) end() {
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
