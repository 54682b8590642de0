package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/hop"
	"geraniumcroft/internal/reach"
	"geraniumcroft/internal/sleep"
	"geraniumcroft/internal/transport"
)

const (
	// probedReplicas is the number of replicas that a round of probes connects to.
	probedReplicas = 3
	// probeTimeout bounds a direct probe, which takes about 2 ms.
	probeTimeout = 100 * time.Millisecond
	// peerProbeTimeout bounds the probes through peers.
	peerProbeTimeout = 300 * time.Millisecond
	// roundInterval is the pause between two rounds while this VM is cut off or may be.
	roundInterval = 500 * time.Millisecond
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
		IsDoubtful:     func() bool { return p.reach.Suspected(time.Now()) },
		MaxConnections: maxPassedOn(p.Settings.VM), Observer: p.recorder, Logger: p.Logger,
	})
	p.mirror.Register(p.hopServer.Register)
	p.mirror.CutOff, p.peers.OnCutOff = p.reach.CutOff, func(address string) { p.hopPeers.ObserveCutOff(address, time.Now()) }
	p.requestPool = p.Pool.WithDial(hop.NewDialer(direct, p.hopClient, p.reach, p.routes).Dial)
	p.controlPool = p.Pool.WithDial(direct)
	p.controlEngines = p.Adapter.NewEngines(p.controlPool)
}

// declinesConnections returns why this VM passes no connections of peers on, "" if it does.
func (p *Process) declinesConnections() string {
	switch {
	case p.reach.CutOff():
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

// runReachProbes probes replicas while this VM may be cut off from them, and while it is.
func (p *Process) runReachProbes() {
	for p.ctx.Err() == nil {
		if !p.reach.CutOff() && !p.reach.Suspected(time.Now()) {
			select {
			case <-p.ctx.Done():
			case <-p.reach.Suspicions():
			}
			continue
		}
		p.logReach(p.reach.RecordRound(p.probeRound(), time.Now()))
		sleep.For(p.ctx, roundInterval)
	}
}

// probeRound connects to some replicas, and through a peer to the same ones if this VM reaches none and
// is not known to be cut off.
func (p *Process) probeRound() reach.Round {
	addresses := p.view.addresses.Load().draw(probedReplicas)
	round := reach.Round{Probed: len(addresses)}
	var reached atomic.Int32
	p.probeEach(addresses, probeTimeout, func(ctx context.Context, address string) {
		if conn, err := p.controlPool.DialFunc()(ctx, "tcp", address); err == nil {
			_ = conn.Close() // a probe
			reached.Add(1)
		}
	})
	if round.Direct = int(reached.Load()); round.Direct > 0 || p.reach.CutOff() {
		return round
	}
	var peer atomic.Pointer[string]
	p.probeEach(addresses, peerProbeTimeout, func(ctx context.Context, address string) {
		if conn, err := p.hopClient.Dial(ctx, address, true); err == nil {
			if through, ok := conn.RemoteAddr().(transport.PeerAddr); ok {
				name := through.PeerAddress()
				peer.Store(&name)
			}
			_ = conn.Close() // a probe
		}
	})
	if found := peer.Load(); found != nil {
		round.Peer = *found
	}
	return round
}

// probeEach calls probe for all addresses concurrently and returns when all calls have ended.
func (p *Process) probeEach(addresses []string, timeout time.Duration, probe func(ctx context.Context, address string)) {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	var all sync.WaitGroup
	for _, address := range addresses {
		all.Go(func() { probe(ctx, address) })
	}
	all.Wait()
}

// logReach logs a change of whether this VM reaches the replicas.
func (p *Process) logReach(change *reach.Change) {
	if change == nil {
		return
	}
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
