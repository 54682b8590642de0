package fleettest

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const plantedRuns = 60

// The oracle of the random fleets must object when a safeguard of the control path
// is missing.
func TestRandomFleetsCatchPlantedFaults(t *testing.T) {
	rows := []struct {
		missing string
		planted planted
		// likely is the incident by which the fault shows.
		likely string
		// objection is part of what the oracle must say.
		objection string
	}{
		{"the rows by which VMs that others hold dead are found", planted{noRoster: true}, "cut-peers", "serves under version"},
		{"a table that holds to conditions", planted{noConditions: true}, "store-delay", "the table"},
		{"a VM that finds out that it is cut off", planted{servesCutOff: true}, "cut-both", "serves under version"},
		{"work in hand that orders wait for", planted{hidesWork: true}, "engine-slow", "a reload of"},
	}
	for _, row := range rows {
		t.Run(row.missing, func(t *testing.T) {
			for seed := range plantedRuns {
				s := rapid.Custom(draw).Example(seed)
				s.shape(row.likely)
				var problems []string
				synctest.Test(t, func(*testing.T) { problems, _, _ = play(s, row.planted) })
				if at := slices.IndexFunc(problems, func(p string) bool { return strings.Contains(p, row.objection) }); at >= 0 {
					t.Logf("caught in run %d: %s", seed, problems[at])
					return
				}
			}
			t.Errorf("%d runs without the safeguard, and nothing was found wrong", plantedRuns)
		})
	}
}

// shape makes one long incident of a kind, in the midst of which operators act while
// long drafts run.
func (s *script) shape(kind string) {
	const began, lasts, held = time.Second, 20 * time.Second, 8 * time.Second
	last := firstVMs - 1
	s.incidents = []incident{{at: began, lasts: lasts, kind: kind, vm: last, name: "e4"}}
	for i := range s.arrivals {
		s.arrivals[i].profile, s.arrivals[i].key, s.arrivals[i].tokens = "draft", "", maxTokens
	}
	s.operations[0].kind, s.operations[0].name = "version", "e4"
	for i := range s.operations {
		o := &s.operations[i]
		o.vm, o.second = i%last, -1
		o.at = began + held + o.at%(lasts-held)
	}
}
