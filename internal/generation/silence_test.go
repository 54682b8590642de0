package generation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/engine"
)

// A middlebox drops the connection state of the first stage's stream: neither events nor
// a reset arrive. The run detects this after the silence timeout and opens the same
// stage on a new connection. The engine works, so it is not replaced.
func TestSilentStageIsReconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := actAfterToken("q", 5, func() { r.cluster.silence("a1") })
		result := runToCompletion(t, r, r.job("q", 200, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 2 || len(r.excluded) != 0 || len(r.cluster.opensOf("a1")) != 2 {
			t.Errorf("%d epochs, excluded %v, %d opens", result.Epochs, r.excluded, len(r.cluster.opensOf("a1")))
		}
	})
}

// The engine hangs: its streams go silent and it does not respond on new connections. The
// reconnect fails after ReconnectTimeout, and only then the target is excluded. The caller
// waits for the silence timeout and ReconnectTimeout, not for OpenTimeout.
func TestStageSilentTwiceIsExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		var hung, next time.Time
		sink := &checkedSink{id: "q", onToken: func(p int) error {
			if p == 5 {
				r.cluster.hang("b1")
				hung = time.Now()
			}
			if p == 6 {
				next = time.Now()
			}
			return nil
		}}
		result := runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 3 || !slices.Equal(r.excluded[0], []string{"b1"}) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
		if took := next.Sub(hung); took > fakeIdle+DefaultReconnectTimeout+100*time.Millisecond {
			t.Errorf("recovered after %v of virtual time", took)
		}
	})
}

// A stage goes silent and its engine, which is leaving, refuses to open it again. Closing
// the silent stream does not reach the engine. The run continues on another engine, and
// its cancel, on its own connection, ends the old stage.
func TestSilentStageIsCancelledAtItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		r.cluster.update("a1", func(e *fakeEngine) {
			e.onOpen = func(open engine.StageOpen) {
				if open.Epoch == 2 {
					r.cluster.update("a1", func(e *fakeEngine) { e.refuse++ })
				}
			}
		})
		sink := actAfterToken("q", 5, func() { r.cluster.silence("a1") })
		runToCompletion(t, r, r.job("q", 200, r.stages("a1:0-6", "b1:6-12")), sink)
		if !slices.Equal(r.excluded[0], []string{"a1"}) || r.released[0]["a1"] != balance.ResultNeutral {
			t.Errorf("excluded %v, released %v", r.excluded, r.released)
		}
	})
}

// Both engines of a run hang at the same time, for example because a rack lost its switch.
// The run detects them one after the other, but waits only ReconnectTimeout for each,
// because the second one was not opened either while the run reconnected to the first.
func TestTwoHungStagesCostOneProofEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		var hung, next time.Time
		sink := &checkedSink{id: "q", onToken: func(p int) error {
			switch p {
			case 5:
				r.cluster.hang("a1")
				r.cluster.hang("b1")
				hung = time.Now()
			case 6:
				next = time.Now()
			}
			return nil
		}}
		runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if took := next.Sub(hung); took > fakeIdle+2*DefaultReconnectTimeout+100*time.Millisecond {
			t.Errorf("recovered after %v of virtual time", took)
		}
	})
}

// All connections to an engine go silent, including new ones, although they open. The run
// reconnects once, then another engine completes the response.
func TestSilentAfterReconnectIsExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		r.cluster.update("b1", func(e *fakeEngine) { e.mute = true })
		result := runToCompletion(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), &checkedSink{id: "q"})
		if result.Epochs != 3 || !slices.Equal(r.excluded[0], []string{"b1"}) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
	})
}
