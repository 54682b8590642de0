package lease

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// The fleet's budget for all of its work is a third of the table's 2,000 reads and 300 writes
	// a second. Leases may use a small part of it.
	maxReadsPerSecond  = 70
	maxWritesPerSecond = 5

	measuredTime = time.Minute
)

// newSizedFleet starts a fleet of n VMs, each of which knows the size.
func newSizedFleet(n int, duties ...string) *fleet {
	f := newFleet(hooks{}, nil, duties...)
	for i := range n {
		f.startSized(n, fmt.Sprintf("vm-%d", i), duties...)
	}
	return f
}

func (f *fleet) startSized(n int, name string, duties ...string) {
	v := newVM(name, f.store, hooks{}, duties...)
	v.manager.options.VMs = func() int { return n }
	f.start(v)
	time.Sleep(7 * time.Millisecond) // VMs do not start in step
}

// Each duty of a dead VM must be taken over within 10 s at either fleet size, with few calls to
// the table.
func TestTakeoverAndTableLoadAtBothSizes(t *testing.T) {
	for n, deaths := range map[int]int{6: 25, 320: 10} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				duties := []string{testDuty, "sweep", "compact"}
				f := newSizedFleet(n, duties...)
				defer f.stop()
				f.awaitHolder(testDuty, takeoverBound)
				f.logTableLoad(t, n)
				f.logTakeovers(t, n, deaths, duties)
			})
		})
	}
}

func (f *fleet) logTableLoad(t *testing.T, n int) {
	t.Helper()
	time.Sleep(takeoverBound)
	commitsBefore, readsBefore := f.store.Counts()
	time.Sleep(measuredTime)
	commits, reads := f.store.Counts()
	writesPerSecond := float64(commits-commitsBefore) / measuredTime.Seconds()
	readsPerSecond := float64(reads-readsBefore) / measuredTime.Seconds()
	t.Logf("%d VMs: %.1f reads and %.1f writes a second for three duties", n, readsPerSecond, writesPerSecond)
	must(t, readsPerSecond <= maxReadsPerSecond, "%.1f reads a second", readsPerSecond)
	must(t, writesPerSecond <= maxWritesPerSecond, "%.1f writes a second", writesPerSecond)
}

func (f *fleet) logTakeovers(t *testing.T, n, deaths int, duties []string) {
	t.Helper()
	var took []time.Duration
	for i := range deaths {
		dead := f.awaitHolder(testDuty, takeoverBound)
		must(t, dead != nil, "no holder")
		f.kill(dead)
		died := time.Now()
		f.vms = slices.DeleteFunc(f.vms, func(v *vm) bool { return v == dead })
		f.startSized(n, fmt.Sprintf("replacement-%d", i), duties...)
		for len(f.holders(testDuty)) == 0 && time.Since(died) <= takeoverBound {
			time.Sleep(10 * time.Millisecond)
		}
		took = append(took, time.Since(died))
		time.Sleep(time.Duration(i) * 137 * time.Millisecond) // fail at another phase of the renewals
	}
	slices.Sort(took)
	t.Logf("%d VMs: %d takeovers after %s to %s, median %s", n, deaths, took[0], took[deaths-1], took[deaths/2])
	must(t, took[deaths-1] <= takeoverBound, "taken over after %s", took[deaths-1])
}
