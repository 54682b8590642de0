package fleettest

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const plantedRuns = 30

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
		// also changes the script further; it may be nil.
		also func(*script)
	}{
		{"the rows by which VMs that others hold dead are found", planted{noRoster: true}, "cut-peers", "serves under version", nil},
		{"the same, and targets are drained", planted{noRoster: true}, "cut-peers", "after the drain was accepted", (*script).drainUnderCalls},
		{"conditions that refuse the second of two racing changes", planted{noConditions: true}, "store-slow", "the table", nil},
		{"a VM that finds out that it is cut off", planted{servesCutOff: true}, "cut-both", "serves under version", nil},
		{"work in hand that orders wait for", planted{hidesWork: true}, "engine-slow", "a reload of", nil},
	}
	for _, row := range rows {
		t.Run(row.missing, func(t *testing.T) {
			for seed := range plantedRuns {
				s := rapid.Custom(draw).Example(seed)
				s.shape(row.likely)
				if row.also != nil {
					row.also(&s)
				}
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

// shape makes one long incident of a kind, in the midst of which operators act in
// pairs while long drafts run.
func (s *script) shape(kind string) {
	const began, lasts, held = time.Second, 20 * time.Second, 8 * time.Second
	const pairs = 2
	last := firstVMs - 1
	s.incidents = []incident{{at: began, lasts: lasts, kind: kind, vm: last, name: "e4"}}
	for i := range s.arrivals {
		s.arrivals[i].profile, s.arrivals[i].key, s.arrivals[i].tokens = "draft", "", maxTokens
	}
	for len(s.operations) < pairs {
		s.operations = append(s.operations, operation{})
	}
	s.operations[0].kind, s.operations[0].name = "version", "e4"
	s.operations[1].kind, s.operations[1].name = "profile", "draft"
	for i := range s.operations {
		o := &s.operations[i]
		o.vm, o.second = i%last, -1
		o.at = began + held + time.Duration(i/2)*time.Second
	}
}

// drainUnderCalls drains one of two instances while callers of both come all the time,
// to the VM of the incident alone.
func (s *script) drainUnderCalls() {
	s.operations = s.operations[:1]
	s.operations[0].kind, s.operations[0].name = "drain", "s0"
	s.arrivals = nil
	for at := time.Duration(0); at < scriptTime; at += 100 * time.Millisecond {
		s.arrivals = append(s.arrivals, arrival{at: at, vm: s.incidents[0].vm, profile: "ask", stubborn: true})
	}
}
