package generation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/engine"
)

// The connection to the first stage is forgotten by something on the way: no
// event comes and no reset. The run notices after the silence bound and opens the
// same stage on a new connection; the engine works, so it keeps its place.
func TestStageSilentIsProvenAgainAtItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		sink := at("q", 5, func() { r.cluster.silence("a1") })
		result := runWhole(t, r, r.job("q", 200, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 2 || len(r.excluded) != 0 || len(r.cluster.opensOf("a1")) != 2 {
			t.Errorf("%d epochs, excluded %v, %d opens", result.Epochs, r.excluded, len(r.cluster.opensOf("a1")))
		}
	})
}

// The engine itself hangs: its streams go silent and new connections bring no
// answer. The new proof fails within its short bound, and only then the target is
// excluded; the caller waits for the silence and the proof, not for the open bound.
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
		result := runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if result.Epochs != 3 || !slices.Equal(r.excluded[0], []string{"b1"}) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
		if took := next.Sub(hung); took > fakeIdle+DefaultReconnectTimeout+100*time.Millisecond {
			t.Errorf("recovered after %v of virtual time", took)
		}
	})
}

// A stage goes silent and its engine, which is leaving, takes no new connection.
// A close cannot reach the old stage there. The run moves on, and its cancel, on a
// connection of its own, frees what the engine works on for nobody.
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
		sink := at("q", 5, func() { r.cluster.silence("a1") })
		runWhole(t, r, r.job("q", 200, r.stages("a1:0-6", "b1:6-12")), sink)
		if !slices.Equal(r.excluded[0], []string{"a1"}) || r.released[0]["a1"] != balance.ResultNeutral {
			t.Errorf("excluded %v, released %v", r.excluded, r.released)
		}
	})
}

// Both engines of a draft hang at the same moment, as when a rack loses its switch.
// The run learns of them one after the other, but gives each only the short bound
// of a new proof: the second had not opened either while the first was proven.
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
		runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), sink)
		if took := next.Sub(hung); took > fakeIdle+2*DefaultReconnectTimeout+100*time.Millisecond {
			t.Errorf("recovered after %v of virtual time", took)
		}
	})
}

// Every connection to an engine goes silent, also the new ones, though they open.
// One new proof is all that it gets; the caller is answered by another engine.
func TestSilentAgainAfterTheProofIsExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, twoHalves...)
		r.cluster.update("b1", func(e *fakeEngine) { e.mute = true })
		result := runWhole(t, r, r.job("q", 12, r.stages("a1:0-6", "b1:6-12")), &checkedSink{id: "q"})
		if result.Epochs != 3 || !slices.Equal(r.excluded[0], []string{"b1"}) {
			t.Errorf("%d epochs, excluded %v", result.Epochs, r.excluded)
		}
	})
}
