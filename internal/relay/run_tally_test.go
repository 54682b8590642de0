package relay

import (
	"testing"

	"geraniumcroft/internal/layers"
)

// Guards against a count of runs that leaves out replicas that may have run a request, or keeps those
// that did not or have ended.
func TestRunTallyCountsWhatMayHaveRun(t *testing.T) {
	silent, ended := layers.Replica{ID: "silent"}, layers.Replica{ID: "ended"}
	isEnded := func(r layers.Replica) bool { return r.ID == ended.ID }
	for name, c := range map[string]struct {
		do   func(*runTally)
		runs int
	}{
		"pending":                    {func(t *runTally) { t.beginSend() }, 1},
		"responded":                  {func(t *runTally) { t.beginSend(); t.recordResponse() }, 1},
		"rejected":                   {func(t *runTally) { t.beginSend(); t.discount() }, 0},
		"no response":                {func(t *runTally) { t.beginSend(); t.recordNoResponse(silent) }, 1},
		"ended without a response":   {func(t *runTally) { t.beginSend(); t.recordNoResponse(ended) }, 0},
		"cut off, then no response":  {func(t *runTally) { t.beginSend(); t.discount(); t.recordNoResponse(silent) }, 0},
		"cut off, then a response":   {func(t *runTally) { t.beginSend(); t.discount(); t.recordResponse() }, 1},
		"no response, then pending":  {func(t *runTally) { t.beginSend(); t.recordNoResponse(silent); t.beginSend() }, 2},
		"discount after a response":  {func(t *runTally) { t.beginSend(); t.recordResponse(); t.discount() }, 1},
		"ended, then another silent": {func(t *runTally) { t.beginSend(); t.recordNoResponse(ended); t.beginSend(); t.recordNoResponse(silent) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for limit := 1; limit <= 3; limit++ {
				var tally runTally
				c.do(&tally)
				if got, want := tally.reached(limit, isEnded), c.runs >= limit; got != want {
					t.Errorf("limit %d reached: %t, want %t", limit, got, want)
				}
			}
		})
	}
}

// Guards against queries to replicas while the limit is not in question.
func TestRunTallyQueriesOnlyAtItsLimit(t *testing.T) {
	var tally runTally
	tally.beginSend()
	tally.recordNoResponse(layers.Replica{ID: "silent"})
	tally.reached(2, func(layers.Replica) bool {
		t.Error("a replica was queried")
		return false
	})
}
