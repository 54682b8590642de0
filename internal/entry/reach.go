package entry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/hop"
	"geraniumcroft/internal/reach"
	"geraniumcroft/internal/transport"
)

// buildWays builds the two ways to replicas: requests take either, polls and orders only the direct one,
// since a VM that is cut off leaves those to others.
func (p *Process) buildWays() {
	p.reach, p.routes = reach.NewTracker(), reach.NewRoutes()
	direct := p.recordDials(p.Pool.DialFunc())
	p.hopPeers = hop.NewPeers(hop.Peer{Address: p.PeersAddress(), DataCentre: p.Settings.VM.DataCentre})
	p.hopClient = hop.NewClient(p.Settings.VM.Name, p.hopPeers, transport.NewDialer(transport.Settings{}), p.recorder, p.Logger)
	p.hopServer = hop.NewServer(hop.ServerOptions{
		Dial: direct, IsReplica: func(address string) bool { return p.view.isReplica(address) }, Declines: p.declinesConnections,
		ReachesReplicas: func(ctx context.Context, since time.Time) bool { return p.reachProber.ReachesReplicas(ctx, since) },
		MaxConnections:  maxPassedOn(p.Settings.VM), Observer: p.recorder, Logger: p.Logger,
	})
	p.mirror.Register(p.hopServer.Register)
	p.mirror.CutOff, p.peers.OnCutOff = func() bool { return !p.reach.CanHelp() }, func(address string) { p.hopPeers.ObserveCutOff(address, time.Now()) }
	p.requestPool = p.Pool.WithDial(hop.NewDialer(direct, p.hopClient, p.reach, p.routes).Dial)
	p.controlPool = p.Pool.WithDial(direct)
	p.controlEngines = p.Adapter.NewEngines(p.controlPool)
	p.reachProber = hop.NewProber(hop.ProberOptions{
		Direct: direct, Client: p.hopClient, Tracker: p.reach, OnChange: p.logReach,
		Replicas: func(n int) []string { return p.view.addresses.Load().draw(n) },
	})
}

// declinesConnections returns why this VM passes no connections of peers on, "" if it does.
func (p *Process) declinesConnections() string {
	switch {
	case !p.reach.CanHelp():
		return "this VM reaches no replica either"
	case p.gate.Draining():
		return "this VM is stopping"
	}
	return ""
}

func hopPeersOf(vms []census.VM) []hop.Peer {
	peers := make([]hop.Peer, len(vms))
	for i, vm := range vms {
		peers[i] = hop.Peer{Address: vm.Address, DataCentre: vm.DataCentre}
	}
	return peers
}

// recordDials returns a dial function that records whether it reached the replica. An attempt that its
// caller cancelled shows nothing.
func (p *Process) recordDials(dial transport.DialFunc) transport.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
			p.reach.RecordDial(address, err == nil, time.Now())
		}
		return conn, err
	}
}

// logReach logs a change of whether this VM reaches the replicas.
func (p *Process) logReach(change *reach.Change) {
	fields := []zap.Field{
		zap.Strings("unreached", change.Unreached), zap.Int("failures", change.Failures), zap.Duration("sinceReached", change.SinceReached),
		zap.Int("probed", change.Round.Probed), zap.Int("probedDirectly", change.Round.Direct), zap.String("reachedByPeer", change.Round.Peer),
		zap.Duration("lasted", change.Lasted),
	}
	if change.CutOff {
		p.Logger.Warn("cut off from all replicas", fields...)
		return
	}
	p.Logger.Info("replicas reached again", fields...)
}
