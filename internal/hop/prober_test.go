package hop

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"geraniumcroft/internal/reach"
)

// newTestProber returns a prober whose direct way works as long as the link is up.
func newTestProber(t *testing.T, link *atomic.Bool, replicas []string, peers ...*testPeer) *Prober {
	p := NewProber(ProberOptions{
		Client: startClient(t, peers...), Tracker: reach.NewTracker(), OnChange: func(*reach.Change) {},
		Replicas: func(int) []string { return replicas },
	})
	p.Direct = func(ctx context.Context, network, address string) (net.Conn, error) {
		if !link.Load() {
			p.Tracker.RecordDial(address, false, time.Now())
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		}
		conn, err := direct()(ctx, network, address)
		p.Tracker.RecordDial(address, err == nil, time.Now())
		return conn, err
	}
	return p
}

// Guards against crashes that are reported to all VMs in the first moments of a cut, before a round of
// probes has found it, and against crashes that do not count since they make a VM suspect itself.
func TestCutIsToldFromCrashesAtOnce(t *testing.T) {
	replica := startReplica(t, echo)
	for name, c := range map[string]struct {
		linkUp, peerUp, cutOff bool
	}{
		"replicas crashed":        {linkUp: true, peerUp: true},
		"this VM is cut off":      {peerUp: true, cutOff: true},
		"peers reach none either": {},
		"no peer reaches any":     {linkUp: true},
	} {
		t.Run(name, func(t *testing.T) {
			var link atomic.Bool
			link.Store(c.linkUp)
			peer := startPeer(t, direct())
			if !c.peerUp {
				peer.decline("cut off")
			}
			p := newTestProber(t, &link, []string{replica}, peer)
			for _, crashed := range []string{"a", "b", "c"} {
				p.Tracker.RecordDial(crashed, false, time.Now())
			}
			if got := p.CutOffSince(t.Context(), time.Now()); got != c.cutOff {
				t.Errorf("cut off: %t", got)
			}
			if got := p.ReachesReplicas(t.Context(), time.Now()); got != c.linkUp {
				t.Errorf("reaches replicas: %t", got)
			}
		})
	}
}

// Guards against what this VM reached before its link was lost being taken for evidence that it is not.
func TestReplicasReachedBeforeProveNothing(t *testing.T) {
	var link atomic.Bool
	link.Store(true)
	p := newTestProber(t, &link, []string{startReplica(t, echo)}, startPeer(t, direct()))
	if !p.ReachesReplicas(t.Context(), time.Now()) {
		t.Fatal("reaches no replica")
	}
	link.Store(false)
	if !p.CutOffSince(t.Context(), time.Now()) {
		t.Error("not cut off")
	}
	link.Store(true)
	if !p.CutOffSince(t.Context(), time.Now()) {
		t.Error("the end of the cut is not confirmed yet")
	}
}
