package fleettest

import (
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// checksInCI is the number of runs if the command line gives none.
const checksInCI = 10

// Runs whole fleets with random events: requests arrive, operators race on the same
// entities at different VMs, engines, services, the store and the VM list fail, and VMs
// are cut off, killed, stopped and started, one or two at a time. The answers to callers
// and operators are compared with what was executed, and the fleet must recover.
func TestRandomFleets(t *testing.T) {
	counts := map[string]int{}
	var first sync.Once
	rapid.Check(t, func(rt *rapid.T) {
		s := rapid.Custom(draw).Draw(rt, "script")
		var problems []string
		var all []callerResult
		var events *trace
		synctest.Test(t, func(*testing.T) { problems, all, events = play(s, planted{}) })
		if len(problems) > 0 {
			// Rapid reports the last run of its shrinking, which may fail differently.
			first.Do(func() { t.Logf("first failed run: %v\n%v", problems, events) })
		}
		for _, problem := range problems {
			rt.Error(problem)
		}
		for _, got := range all {
			counts[got.profile+" "+got.outcome.String()]++
		}
	})
	t.Log("outcomes by profile: ", counts)
}
