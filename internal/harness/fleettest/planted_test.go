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

// The oracle of the random fleet tests must detect that a safeguard of the control path
// is disabled.
func TestRandomFleetsCatchPlantedFaults(t *testing.T) {
	rows := []struct {
		missing string
		planted planted
		// incident is the kind of incident that makes the planted fault visible.
		incident string
		// problem is a part of the problem that the oracle must report.
		problem string
		// adjust, if not nil, changes the script further.
		adjust func(*script)
	}{
		{"rows by which VMs find VMs that others consider dead", planted{noVMRows: true}, "cut-peers", "serves under version", nil},
		{"the same rows, with a target being drained", planted{noVMRows: true}, "cut-peers", "after the drain was accepted", (*script).drainUnderCalls},
		{"conditions that refuse the second of two racing changes", planted{noConditions: true}, "store-slow", "the table", nil},
		{"detection by a VM that it is cut off", planted{serveCutOff: true}, "cut-both", "serves under version", nil},
		{"requests in progress that orders wait for", planted{hideWork: true}, "engine-slow", "a reload of", nil},
	}
	for _, row := range rows {
		t.Run(row.missing, func(t *testing.T) {
			for seed := range plantedRuns {
				s := rapid.Custom(draw).Example(seed)
				s.focusOn(row.incident)
				if row.adjust != nil {
					row.adjust(&s)
				}
				var problems []string
				synctest.Test(t, func(*testing.T) { problems, _, _ = play(s, row.planted) })
				if at := slices.IndexFunc(problems, func(p string) bool { return strings.Contains(p, row.problem) }); at >= 0 {
					t.Logf("caught in run %d: %s", seed, problems[at])
					return
				}
			}
			t.Errorf("%d runs without the safeguard, but the oracle found no such problem", plantedRuns)
		})
	}
}

// focusOn reduces the script to one long incident of a kind. During the incident, long
// generations run and operators make changes in pairs.
func (s *script) focusOn(kind string) {
	const began, duration, delay = time.Second, 20 * time.Second, 8 * time.Second
	const pairs = 2
	last := firstVMs - 1
	s.incidents = []incident{{at: began, duration: duration, kind: kind, vm: last, name: "e4"}}
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
		o.at = began + delay + time.Duration(i/2)*time.Second
	}
}

// drainUnderCalls reduces the script to a drain of one of two service instances, while
// calls to that service arrive continuously at the VM of the incident.
func (s *script) drainUnderCalls() {
	s.operations = s.operations[:1]
	s.operations[0].kind, s.operations[0].name = "drain", "s0"
	s.arrivals = nil
	for at := time.Duration(0); at < scriptTime; at += 100 * time.Millisecond {
		s.arrivals = append(s.arrivals, arrival{at: at, vm: s.incidents[0].vm, profile: "ask", pinned: true})
	}
}
