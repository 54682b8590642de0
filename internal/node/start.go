package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/sleep"
)

const (
	pollInterval   = 5 * time.Second
	dutyInterval   = 10 * time.Second
	loadTimeout    = 2 * time.Second
	loadRetryDelay = 200 * time.Millisecond
	maxSweptClaims = 200
)

// Start opens the listener for callers and starts all goroutines. The node serves requests once it
// has read the configuration, which Ready reports.
func (n *Node) Start() error {
	n.spawn(func() { _ = n.peers.Serve(n.peerListener) })
	n.spawn(func() { _ = n.adminServer.Serve(n.adminListener) })
	address, err := n.callers.Start()
	if err != nil {
		return err
	}
	n.callersAddr = address.String()
	n.spawn(func() { n.peers.Run(n.ctx) })
	n.spawn(n.pollVMList)
	n.spawn(n.loadConfig)
	n.spawn(func() { n.watcher.Run(n.ctx) })
	n.spawn(func() { n.leases.Run(n.ctx) })
	n.duties.Go(func() { n.orders.Run(n.dutiesCtx) })
	n.spawn(n.pollStore)
	n.duties.Go(n.runDuties)
	n.spawn(func() { n.claims.Run(n.ctx) })
	n.spawn(n.monitorIsolation)
	n.spawn(n.updateGauges)
	n.logger.Info("started", zap.String("callers", n.callersAddr), zap.String("admin", n.AdminAddress()), zap.String("peers", n.PeerAddress()))
	return nil
}

// spawn runs f in a goroutine that terminate waits for.
func (n *Node) spawn(f func()) {
	n.work.Add(1)
	go func() {
		defer n.work.Done()
		f()
	}()
}

// loadConfig reads the configuration in force, with retries, and then makes the VM ready. The store
// or one peer is enough, but both are asked: a change that was committed right before the store
// became unavailable is known to peers only, and a change that has not reached a peer yet is known
// to the store only.
func (n *Node) loadConfig() {
	for n.ctx.Err() == nil {
		if n.tryLoadConfig() {
			n.gate.SetLoaded()
			close(n.ready)
			n.logger.Info("ready", zap.Uint64("configVersion", n.store.Current().Version))
			return
		}
		sleep.For(n.ctx, loadRetryDelay)
	}
}

// tryLoadConfig registers this VM before it reads the configuration, so that a change that is
// committed in between waits for this VM; see package roster. It reports whether the configuration
// was read.
func (n *Node) tryLoadConfig() bool {
	ctx, cancel := context.WithTimeout(n.ctx, loadTimeout)
	defer cancel()
	if vms, err := n.platform.VMs(ctx); err == nil {
		n.peers.UpdateVMs(vms)
	}
	registerErr := n.roster.Register(ctx)
	loadErr, joinErr := n.readStoreAndPeers(ctx, n.store.Load)
	loadErr = errors.CombineErrors(registerErr, loadErr)
	if loadErr != nil && joinErr != nil {
		n.logger.Warn("no configuration yet", zap.NamedError("store", loadErr), zap.NamedError("peers", joinErr))
		return false
	}
	if registerErr != nil {
		n.spawn(n.retryRegister)
	}
	return true
}

// monitorIsolation runs the isolation monitor once the VM is ready.
func (n *Node) monitorIsolation() {
	select {
	case <-n.ready:
	case <-n.ctx.Done():
		return
	}
	monitor := &isolationMonitor{
		connectivity: connectivity{
			storeReachable: (&storeProbe{poll: n.store.Poll}).reachable,
			hasPeers:       n.peers.HasPeers,
			peerReachable:  n.peers.Reachable,
		},
		gate:     n.gate,
		catchUp:  n.catchUp,
		onResume: n.router.WakeQueues,
	}
	monitor.run(n.ctx)
}

// catchUp reads the newest configuration from the store and from peers, and reports whether one of
// them answered.
func (n *Node) catchUp() bool {
	ctx, cancel := context.WithTimeout(n.ctx, loadTimeout)
	defer cancel()
	pollErr, joinErr := n.readStoreAndPeers(ctx, n.store.Poll)
	return pollErr == nil || joinErr == nil
}

// readStoreAndPeers reads the configuration from the store and from peers concurrently.
func (n *Node) readStoreAndPeers(ctx context.Context, readStore func(context.Context) error) (storeErr, peersErr error) {
	joinErrs := make(chan error, 1)
	go func() { joinErrs <- n.peers.Join(ctx) }()
	storeErr = readStore(ctx)
	return storeErr, <-joinErrs
}

// retryRegister writes the row that could not be written because of a store outage.
func (n *Node) retryRegister() {
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, loadTimeout)
		err := n.roster.Register(ctx)
		cancel()
		if err == nil {
			return
		}
		sleep.For(n.ctx, loadRetryDelay)
	}
}

// pollVMList reads the platform's VM list periodically and updates the shares of this VM.
func (n *Node) pollVMList() {
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, 2*minVMListInterval)
		vms, err := n.platform.VMs(ctx)
		cancel()
		if err == nil {
			n.peers.UpdateVMs(vms)
			n.tracker.SetVMs(vms)
		}
		n.updateShares()
		sleep.For(n.ctx, vmListInterval(n.peers.PeerCount()+1))
	}
}

func (n *Node) pollStore() {
	for n.ctx.Err() == nil {
		sleep.For(n.ctx, pollInterval)
		ctx, cancel := context.WithTimeout(n.ctx, pollInterval)
		// The row is checked first: a change that is committed afterwards waits for this VM.
		err := errors.CombineErrors(n.roster.Ensure(ctx), n.store.Poll(ctx))
		if err != nil {
			n.logger.Debug("poll of the store failed", zap.Error(err))
		}
		cancel()
	}
}

// runDuties carries out the duties whose lease this VM holds. Package orders runs its duty itself.
func (n *Node) runDuties() {
	for n.dutiesCtx.Err() == nil {
		sleep.For(n.dutiesCtx, dutyInterval)
		if lease, held := n.leases.Held(dutySweep); held && lease.Check() == nil {
			n.sweep()
		}
		if lease, held := n.leases.Held(dutyCompact); held && lease.Check() == nil {
			if err := n.store.Compact(n.dutiesCtx); err != nil {
				n.logger.Debug("compaction failed", zap.Error(err))
			}
		}
	}
}

// sweep deletes claims and rows of VMs that are no longer needed.
func (n *Node) sweep() {
	now := time.Now()
	if _, err := n.claims.Sweep(n.dutiesCtx, now, maxSweptClaims); err != nil {
		n.logger.Debug("sweep of claims failed", zap.Error(err))
	}
	if err := n.roster.Sweep(n.dutiesCtx, now); err != nil {
		n.logger.Debug("sweep of VM rows failed", zap.Error(err))
	}
}
