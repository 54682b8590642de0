package hop

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

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
	// cutOffMargin is how long before a connection broke the end of a cut may be that has broken it.
	cutOffMargin = time.Second
)

// ProberOptions are the dependencies of a Prober.
type ProberOptions struct {
	Direct  transport.DialFunc
	Client  *Client
	Tracker *reach.Tracker
	// Replicas returns up to n addresses of replicas at random.
	Replicas func(n int) []string
	// OnChange is called when the VM is found to be cut off, and when that has ended.
	OnChange func(*reach.Change)
}

// Prober finds out whether this VM is cut off from the replicas once its Tracker suspects it, and when
// the cut has ended. It is safe for concurrent use.
type Prober struct {
	ProberOptions

	// rounds is held during a round, so that callers of CutOffSince share one.
	rounds    *semaphore.Weighted
	lastRound time.Time // when the last round began
	// directProbes is held while replicas are probed for ReachesReplicas.
	directProbes    *semaphore.Weighted
	lastDirectProbe time.Time // when the last one that reached none began
}

// NewProber returns a Prober. Run starts it.
func NewProber(o ProberOptions) *Prober {
	return &Prober{ProberOptions: o, rounds: semaphore.NewWeighted(1), directProbes: semaphore.NewWeighted(1)}
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
		if p.rounds.Acquire(ctx, 1) == nil {
			p.runRound(ctx)
			p.rounds.Release(1)
		}
		sleep.For(ctx, roundInterval)
	}
}

// ReachesReplicas reports whether this VM has reached a replica by itself since a time. It probes some
// if it is not known.
func (p *Prober) ReachesReplicas(ctx context.Context, since time.Time) bool {
	if p.Tracker.ReachedSince(since) {
		return true
	}
	if p.directProbes.Acquire(ctx, 1) != nil {
		return false
	}
	defer p.directProbes.Release(1)
	if p.Tracker.ReachedSince(since) {
		return true
	}
	if p.lastDirectProbe.After(since) {
		return false
	}
	began := time.Now()
	addresses := p.Replicas(probedReplicas)
	first := min(1, len(addresses)) // nearly always enough
	if p.probeDirectly(ctx, addresses[:first], 1) > 0 || p.probeDirectly(ctx, addresses[first:], 1) > 0 {
		return true
	}
	p.lastDirectProbe = began
	return false
}

// CutOff reports whether this VM is cut off, as far as is known.
func (p *Prober) CutOff() bool { return p.Tracker.CutOff() }

// CutOffSince reports whether this VM was cut off at a time or later, so that what broke or was not
// reached proves nothing. If it is not known whether it reaches replicas, a round of probes decides. A
// suspicion is not enough: a request that crashes replica after replica raises one too.
func (p *Prober) CutOffSince(ctx context.Context, at time.Time) bool {
	cutOff := func() bool { return p.Tracker.CutOffSince(at.Add(-cutOffMargin)) }
	if cutOff() {
		return true
	}
	if p.ReachesReplicas(ctx, at) {
		return false
	}
	if p.rounds.Acquire(ctx, 1) != nil {
		return cutOff()
	}
	defer p.rounds.Release(1)
	if !p.lastRound.After(at) {
		p.runRound(ctx)
	}
	return cutOff()
}

// runRound runs a round and records it. p.rounds is held.
func (p *Prober) runRound(ctx context.Context) {
	p.lastRound = time.Now()
	if change := p.Tracker.RecordRound(p.round(ctx), time.Now()); change != nil {
		p.OnChange(change)
	}
}

// round connects to some replicas, and through a peer to the same ones if this VM reaches none and is
// not known to be cut off.
func (p *Prober) round(ctx context.Context) reach.Round {
	addresses := p.Replicas(probedReplicas)
	round := reach.Round{Probed: len(addresses), Direct: p.probeDirectly(ctx, addresses, len(addresses))}
	if round.Direct > 0 || p.Tracker.CutOff() {
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

// probeDirectly connects to replicas until enough of them were reached, and returns how many were.
func (p *Prober) probeDirectly(ctx context.Context, addresses []string, enough int) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var reached atomic.Int32
	probeEach(ctx, addresses, directProbeTimeout, func(ctx context.Context, address string) {
		if conn, err := p.Direct(ctx, "tcp", address); err == nil {
			_ = conn.Close() // a probe
			if reached.Add(1) >= int32(enough) {
				cancel()
			}
		}
	})
	return int(reached.Load())
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
