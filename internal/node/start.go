package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/sleep"
)

const (
	pollInterval = 5 * time.Second
	dutyInterval = 10 * time.Second
	loadAttempt  = 2 * time.Second
	loadPause    = 200 * time.Millisecond
	sweepLimit   = 200
)

// Start opens the callers' listener and begins all work. The node serves requests
// once it has read the configuration; Ready tells when.
func (n *Node) Start() error {
	n.spawn(func() { _ = n.peers.Serve(n.peerListener) })
	n.spawn(func() { _ = n.adminServer.Serve(n.adminListener) })
	address, err := n.callers.Start()
	if err != nil {
		return err
	}
	n.callersAddr = address.String()
	n.spawn(func() { n.peers.Run(n.ctx) })
	n.spawn(n.followVMList)
	n.spawn(n.becomeReady)
	n.spawn(func() { n.watcher.Run(n.ctx) })
	n.spawn(func() { n.leases.Run(n.ctx) })
	n.duties.Go(func() { n.orders.Run(n.dutiesCtx) })
	n.spawn(n.pollStore)
	n.duties.Go(n.doDuties)
	n.spawn(func() { n.claims.Run(n.ctx) })
	n.spawn(n.watchFreshness)
	n.spawn(n.setGauges)
	n.logger.Info("started", zap.String("callers", n.callersAddr), zap.String("admin", n.AdminAddress()), zap.String("peers", n.PeerAddress()))
	return nil
}

func (n *Node) spawn(f func()) {
	n.work.Add(1)
	go func() {
		defer n.work.Done()
		f()
	}()
}

// becomeReady reads the configuration in force. The store alone or a peer alone
// is enough, but both are asked: a change that was committed right before the
// store went out is known to peers only, and a change that reached no peer yet is
// known to the store only.
func (n *Node) becomeReady() {
	for n.ctx.Err() == nil {
		if n.readConfig() {
			n.gate.SetLoaded()
			close(n.ready)
			n.logger.Info("ready", zap.Uint64("configVersion", n.store.Current().Version))
			return
		}
		sleep.For(n.ctx, loadPause)
	}
}

// readConfig registers this VM before it reads, so that a change which commits in
// between waits for it; see package roster.
func (n *Node) readConfig() bool {
	ctx, cancel := context.WithTimeout(n.ctx, loadAttempt)
	defer cancel()
	if vms, err := n.platform.VMs(ctx); err == nil {
		n.peers.UpdateVMs(vms)
	}
	registerErr := n.roster.Register(ctx)
	loadErr, joinErr := n.askBoth(ctx, n.store.Load)
	loadErr = errors.CombineErrors(registerErr, loadErr)
	if loadErr != nil && joinErr != nil {
		n.logger.Warn("no configuration yet", zap.NamedError("store", loadErr), zap.NamedError("peers", joinErr))
		return false
	}
	if registerErr != nil {
		n.spawn(n.registerLater)
	}
	return true
}

// watchFreshness begins once the VM is ready.
func (n *Node) watchFreshness() {
	select {
	case <-n.ready:
	case <-n.ctx.Done():
		return
	}
	watch := &freshness{
		reach: reach{
			storeReachable: (&storeProbe{poll: n.store.Poll}).reachable,
			hasPeers:       n.peers.HasPeers,
			peerReachable:  n.peers.Reachable,
		},
		gate:    n.gate,
		catchUp: n.catchUp,
		resumed: n.router.WakeQueues,
	}
	watch.run(n.ctx)
}

// catchUp reads the newest configuration that the store and the peers can give and
// reports whether either gave one.
func (n *Node) catchUp() bool {
	ctx, cancel := context.WithTimeout(n.ctx, loadAttempt)
	defer cancel()
	pollErr, joinErr := n.askBoth(ctx, n.store.Poll)
	return pollErr == nil || joinErr == nil
}

// askBoth reads the configuration from the store and from peers side by side.
func (n *Node) askBoth(ctx context.Context, readStore func(context.Context) error) (storeErr, peersErr error) {
	joined := make(chan error, 1)
	go func() { joined <- n.peers.Join(ctx) }()
	storeErr = readStore(ctx)
	return storeErr, <-joined
}

// registerLater writes the row that a store outage kept from being written.
func (n *Node) registerLater() {
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, loadAttempt)
		err := n.roster.Register(ctx)
		cancel()
		if err == nil {
			return
		}
		sleep.For(n.ctx, loadPause)
	}
}

func (n *Node) followVMList() {
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, 2*minVMListInterval)
		vms, err := n.platform.VMs(ctx)
		cancel()
		if err == nil {
			n.peers.UpdateVMs(vms)
			n.tracker.SetVMs(vms)
		}
		n.shareOut()
		sleep.For(n.ctx, vmListInterval(n.peers.PeerCount()+1))
	}
}

func (n *Node) pollStore() {
	for n.ctx.Err() == nil {
		sleep.For(n.ctx, pollInterval)
		ctx, cancel := context.WithTimeout(n.ctx, pollInterval)
		// The row first: a change that commits after it waits for this VM.
		err := errors.CombineErrors(n.roster.Ensure(ctx), n.store.Poll(ctx))
		if err != nil {
			n.logger.Debug("poll of the store failed", zap.Error(err))
		}
		cancel()
	}
}

func (n *Node) doDuties() {
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

func (n *Node) sweep() {
	now := time.Now()
	if _, err := n.claims.Sweep(n.dutiesCtx, now, sweepLimit); err != nil {
		n.logger.Debug("sweep of claims failed", zap.Error(err))
	}
	if err := n.roster.Sweep(n.dutiesCtx, now); err != nil {
		n.logger.Debug("sweep of VMs' rows failed", zap.Error(err))
	}
}
