package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/sleep"
)

const (
	// unreadyWait is how long the VM takes requests after it has become unready. The load
	// balancer probes each second and needs two failed probes, and connections that it assigned
	// before still carry requests.
	unreadyWait = 3 * time.Second
	// drainPollInterval is the pause between two checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// graceMargin is subtracted from the grace time, after which the process is killed.
	graceMargin = 400 * time.Millisecond
	// releaseTimeout bounds the release of leases.
	releaseTimeout = 300 * time.Millisecond
	// flushDelay is the time for the last answers to leave the machine.
	flushDelay = 100 * time.Millisecond
)

// Stop ends the process gracefully: requests that can end within the grace time are not cut
// off. Callers' connections are closed with their next answer and idle ones at once, so that no
// request is sent on a connection that is about to be closed.
func (p *Process) Stop() {
	started := time.Now()
	p.Logger.Info("stopping", zap.Int("inHand", p.handler.InHand()))
	p.gate.BeginDrain()
	ctx, cancel := context.WithTimeout(context.Background(), p.Settings.Relay.Grace-graceMargin)
	defer cancel()
	p.releaseLeases(ctx)
	p.callers.SetKeepAlivesEnabled(false)
	sleep.For(ctx, unreadyWait-time.Since(started))
	p.gate.Stop()
	for p.handler.InHand()+p.hopServer.Active() > 0 && sleep.For(ctx, drainPollInterval) {
	}
	sleep.For(context.Background(), flushDelay)
	p.Logger.Info("stopped", zap.Int("inHand", p.handler.InHand()), zap.Int("passedOn", p.hopServer.Active()), zap.Duration("took", time.Since(started)))
	p.shutDown()
}

// releaseLeases releases the leases, so that the next holder need not wait for them to expire.
func (p *Process) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	p.leases.Release(ctx)
}

func (p *Process) shutDown() {
	p.cancel()
	for _, server := range []interface{ Close() error }{p.callers, p.probes, p.admin} {
		if err := server.Close(); err != nil {
			p.Logger.Debug("listener not closed", zap.Error(err))
		}
	}
	p.allocator.Close()
	p.allocatorServer.Stop() // the mirror waits for its sessions
	p.mirror.Stop()
	p.peers.Close()
	p.hopClient.Close()
	p.table.Close()
	p.work.Wait()
	p.requestPool.Close()
	p.controlPool.Close()
}

// Kill ends the process at once, without waiting for requests and without releasing leases, as
// close to a crash as a process can do by itself.
func (p *Process) Kill() {
	p.gate.Stop()
	p.shutDown()
}
