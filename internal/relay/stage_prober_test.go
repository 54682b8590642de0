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

func TestAnswersOfStages(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for name, c := range map[string]struct {
		err    error
		answer stall.ProbeResult
	}{
		"takes the connection":  {nil, stall.ProbeAccepted},
		"resets it, being full": {syscall.ECONNRESET, stall.ProbeAccepted},
		"refuses it":            {refused, stall.ProbeRefused},
		"no handle is left":     {syscall.EMFILE, stall.ProbeUnknown},
	} {
		prober := newStageProber(func(context.Context, string) error { return c.err })
		if got, _ := prober.ask(oneStage); got[0].ProbeResult != c.answer {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Guards against a lost packet that is taken for a stage that stopped.
func TestSilentStageIsAskedTwice(t *testing.T) {
	for name, c := range map[string]struct {
		answersFrom int32
		answer      stall.ProbeResult
	}{
		"the second question is answered": {2, stall.ProbeAccepted},
		"none is":                         {9, stall.ProbeTimedOut},
	} {
		synctest.Test(t, func(t *testing.T) {
			var dials atomic.Int32
			prober := newStageProber(func(ctx context.Context, _ string) error {
				if dials.Add(1) >= c.answersFrom {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			})
			if got, _ := prober.ask(oneStage); got[0].ProbeResult != c.answer {
				t.Errorf("%s: %v", name, got)
			}
			synctest.Wait()
		})
	}
}

// Guards against each stream of a VM asking the same stages.
func TestStreamsShareAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		prober := newStageProber(func(context.Context, string) error { dials.Add(1); return nil })
		for range 10 {
			prober.ask(oneStage)
		}
		if dials.Load() != 1 {
			t.Errorf("%d connections", dials.Load())
		}
	})
}

// Guards against questions without end where all paths stand still again and again.
func TestQuestionsEndWithTheBudget(t *testing.T) {
	prober := newStageProber(func(context.Context, string) error { return errors.New("not an answer that is kept") })
	for range 1000 {
		prober.ask(oneStage)
	}
	if prober.budget.Take() {
		t.Error("questions are left after 1000")
	}
}
