package lease

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/harness/testseed"
)

const (
	restoredSeeds    = 20
	restoredDuration = 3 * time.Minute
	sampleInterval   = 50 * time.Millisecond
)

// holderCheck checks that a duty has one holder at a time, and that no fencing number has two.
type holderCheck struct {
	t       *testing.T
	seed    uint64
	highest uint64
	actedAs map[uint64]*vm
}

// sample checks the VMs that may act now.
func (c *holderCheck) sample(f *fleet) {
	holding := f.holders(testDuty)
	if len(holding) > 1 {
		c.t.Errorf("seed %d: %s and %s hold the duty at the same time", c.seed, holding[0].Name, holding[1].Name)
	}
	for _, v := range holding {
		l, ok := v.manager.Held(testDuty)
		if !ok {
			continue
		}
		if other := c.actedAs[l.Fencing]; other != nil && other != v {
			c.t.Errorf("seed %d: fencing number %d of %s and %s", c.seed, l.Fencing, other.Name, v.Name)
		}
		if l.Fencing < c.highest {
			c.t.Errorf("seed %d: fencing number %d of %s after %d", c.seed, l.Fencing, v.Name, c.highest)
		}
		c.actedAs[l.Fencing], c.highest = v, max(c.highest, l.Fencing)
	}
}

// playRestores lets the table come back from older copies, pauses VMs and makes writes hang or take
// effect late, and samples the holders all the while.
func playRestores(t *testing.T, seed uint64) (tenures int) {
	random := rand.New(rand.NewPCG(seed, 9))
	f := newFleet(hooks{}, append([]string{"vm-d"}, threeVMs...), testDuty)
	check := &holderCheck{t: t, seed: seed, actedAs: map[uint64]*vm{}}
	faults := rand.New(rand.NewPCG(seed, 10)) // Faults calls the chooser one call at a time
	f.store.Faults.Choose(func(platformsim.Operation) platformsim.Action { return randomAction(faults) })
	var copies []platformsim.Copy
	for range restoredDuration / sampleInterval {
		time.Sleep(sampleInterval)
		check.sample(f)
		switch v := f.vms[random.IntN(len(f.vms))]; random.IntN(60) {
		case 0, 1:
			copies = append(copies, f.store.Copy())
		case 2:
			if n := len(copies); n > 0 {
				f.store.Restore(copies[max(0, n-1-random.IntN(4))])
			}
		case 3:
			v.Pause()
		case 4:
			v.HangCommits(true)
		default:
			v.Resume()
			v.HangCommits(false)
		}
	}
	f.store.Faults.Choose(nil)
	f.stop()
	return len(check.actedAs)
}

// Guards against two holders at a time, or two with one fencing number, when the table comes back from
// a copy in which the present holder's lease is missing, or renewals of it are.
func TestOneHolderWhileTableIsRestored(t *testing.T) {
	tenures := 0
	for seed := range testseed.Series(restoredSeeds) {
		synctest.Test(t, func(t *testing.T) { tenures += playRestores(t, seed) })
	}
	must(t, tenures > 2*restoredSeeds, "only %d tenures in %d runs, too few to prove anything", tenures, restoredSeeds)
	t.Logf("%d runs, %d tenures", restoredSeeds, tenures)
}

// Guards against a duty without a holder because the row of its lease was lost.
func TestDutyHasAHolderAfterTableRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs, testDuty)
		defer f.stop()
		empty := f.store.Copy()
		before := f.awaitHolder(testDuty, takeoverBound)
		l, _ := before.manager.Held(testDuty)
		f.store.Restore(empty)
		time.Sleep(takeoverBound)
		next := f.awaitHolder(testDuty, takeoverBound)
		must(t, next != nil, "no holder")
		now, _ := next.manager.Held(testDuty)
		must(t, now.Fencing > l.Fencing, "fencing number %d after %d", now.Fencing, l.Fencing)
	})
}
