package fleettest

import (
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// checksInCI bounds the runs where no count is given.
const checksInCI = 10

// Whole fleets: callers come at random, operators race on the same entities through
// different VMs, engines, services, the store and the VM list fail, VMs are cut off,
// killed, stopped and joined, singly and two at once. What callers and operators were
// told is compared with what ran, and the fleet must heal.
func TestRandomFleets(t *testing.T) {
	counts := map[string]int{}
	var first sync.Once
	rapid.Check(t, func(rt *rapid.T) {
		s := rapid.Custom(draw).Draw(rt, "script")
		var problems []string
		var all []told
		var what *trace
		synctest.Test(t, func(*testing.T) { problems, all, what = play(s, planted{}) })
		if len(problems) > 0 {
			// rapid shows the run that it ends with, which need not fail the same way.
			first.Do(func() { t.Logf("the first run that failed: %v\n%v", problems, what) })
		}
		for _, problem := range problems {
			rt.Error(problem)
		}
		for _, got := range all {
			counts[got.profile+" "+got.outcome.String()]++
		}
	})
	t.Log("callers were told: ", counts)
}
