package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"

	"geraniumcroft/internal/stall"
)

var oneStage = []stall.Stage{{Address: "192.0.2.1:80", DataCentre: "north"}}

func TestProbeResults(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for name, c := range map[string]struct {
		err    error
		result stall.ProbeResult
	}{
		"accepts the connection":     {nil, stall.ProbeAccepted},
		"resets it when full":        {syscall.ECONNRESET, stall.ProbeAccepted},
		"refuses it":                 {refused, stall.ProbeRefused},
		"no file descriptor is left": {syscall.EMFILE, stall.ProbeUnknown},
	} {
		prober := newStageProber(func(context.Context, string) error { return c.err })
		if got, _ := prober.probeAll(oneStage); got[0].ProbeResult != c.result {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Guards against taking a lost packet for a stage that stopped.
func TestUnresponsiveStageIsDialledAgain(t *testing.T) {
	for name, c := range map[string]struct {
		respondsFrom int32
		result       stall.ProbeResult
	}{
		"the second dial is answered": {2, stall.ProbeAccepted},
		"none is":                     {9, stall.ProbeTimedOut},
	} {
		synctest.Test(t, func(t *testing.T) {
			var dials atomic.Int32
			prober := newStageProber(func(ctx context.Context, _ string) error {
				if dials.Add(1) >= c.respondsFrom {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			})
			if got, _ := prober.probeAll(oneStage); got[0].ProbeResult != c.result {
				t.Errorf("%s: %v", name, got)
			}
			synctest.Wait()
		})
	}
}

// Guards against each stream of a VM probing the same stages.
func TestStreamsShareProbeResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		prober := newStageProber(func(context.Context, string) error { dials.Add(1); return nil })
		for range 10 {
			prober.probeAll(oneStage)
		}
		if dials.Load() != 1 {
			t.Errorf("%d connections", dials.Load())
		}
	})
}

// Guards against unlimited probes if all paths stall repeatedly.
func TestProbesEndWithTheBudget(t *testing.T) {
	prober := newStageProber(func(context.Context, string) error { return errors.New("not a result that is cached") })
	for range 1000 {
		prober.probeAll(oneStage)
	}
	if prober.budget.Take() {
		t.Error("probes are left after 1000")
	}
}
