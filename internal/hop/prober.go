package hop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/reach"
	"geraniumcroft/internal/sleep"
	"geraniumcroft/internal/transport"
)

const (
	// probedReplicas is the number of replicas that a round of probes connects to.
	probedReplicas = 3
	// directProbeTimeout bounds a direct probe, which takes about 2 ms.
	directProbeTimeout = 100 * time.Millisecond
	// peerProbeTimeout bounds the probes through peers.
	peerProbeTimeout = 300 * time.Millisecond
	// roundInterval is the pause between two rounds while this VM is cut off or may be.
	roundInterval = 500 * time.Millisecond
)

// Prober finds out whether this VM is cut off from the replicas once its Tracker suspects it, and when
// the cut has ended.
type Prober struct {
	Direct  transport.DialFunc
	Client  *Client
	Tracker *reach.Tracker
	// Replicas returns up to n addresses of replicas at random.
	Replicas func(n int) []string
	// OnChange is called when the VM is found to be cut off, and when that has ended.
	OnChange func(*reach.Change)
}

// Run probes as needed until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.Tracker.CutOff() && !p.Tracker.Suspected(time.Now()) {
			select {
			case <-ctx.Done():
			case <-p.Tracker.Suspicions():
			}
			continue
		}
		if change := p.Tracker.RecordRound(p.round(ctx), time.Now()); change != nil {
			p.OnChange(change)
		}
		sleep.For(ctx, roundInterval)
	}
}

// round connects to some replicas, and through a peer to the same ones if this VM reaches none and is
// not known to be cut off.
func (p *Prober) round(ctx context.Context) reach.Round {
	addresses := p.Replicas(probedReplicas)
	round := reach.Round{Probed: len(addresses)}
	var reached atomic.Int32
	probeEach(ctx, addresses, directProbeTimeout, func(ctx context.Context, address string) {
		if conn, err := p.Direct(ctx, "tcp", address); err == nil {
			_ = conn.Close() // a probe
			reached.Add(1)
		}
	})
	if round.Direct = int(reached.Load()); round.Direct > 0 || p.Tracker.CutOff() {
		return round
	}
	var peer atomic.Pointer[string]
	probeEach(ctx, addresses, peerProbeTimeout, func(ctx context.Context, address string) {
		conn, err := p.Client.Dial(ctx, address, true)
		if err != nil {
			return
		}
		if through, ok := conn.RemoteAddr().(transport.PeerAddr); ok {
			name := through.PeerAddress()
			peer.Store(&name)
		}
		_ = conn.Close() // a probe
	})
	if found := peer.Load(); found != nil {
		round.Peer = *found
	}
	return round
}

// probeEach calls probe for all addresses concurrently and returns when all calls have ended.
func probeEach(ctx context.Context, addresses []string, timeout time.Duration, probe func(ctx context.Context, address string)) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var all sync.WaitGroup
	for _, address := range addresses {
		all.Go(func() { probe(ctx, address) })
	}
	all.Wait()
}
