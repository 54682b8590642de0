package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/platform"
)

// Guards against feed calls that the store loses. A change reaches all VMs at once, so half a
// second later all of them call the feed again. If the store falls silent just then, it holds
// these calls and never answers them, even after its return. Each VM then waited for the timeout
// of its call, 9 s, and no peer had a newer copy: callers got 401 with a key that had been
// acknowledged 2.2 s before, and a profile was served as it stood four changes earlier. On six VMs
// the calls timed out 9.0 s after they were sent, within 9 ms of each other, while other calls of
// the same VMs had been answered for three seconds.
func TestHeldCallsDoNotHideAChange(t *testing.T) {
	for _, c := range []struct {
		vms   int
		bound time.Duration
		// outage is how long the store is silent.
		outage time.Duration
		// dead is the share of VMs that stop answering their peers when the store falls silent.
		dead  float64
		seeds int
	}{
		{6, 2 * time.Second, 300 * time.Millisecond, 0, 4},
		{6, 2 * time.Second, 2 * time.Second, 0, 4},
		{6, 2 * time.Second, 6 * time.Second, 0, 4},
		{6, 2 * time.Second, 6 * time.Second, 0.5, 4},
		{6, 2 * time.Second, 30 * time.Second, 0, 2},
		{90, 3 * time.Second, 300 * time.Millisecond, 0, 1},
		{90, 3 * time.Second, 6 * time.Second, 0.25, 1},
		{320, 4 * time.Second, 6 * time.Second, 0.1, 1},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d VMs, silent for %s, dead %v, seed %d", c.vms, c.outage, c.dead, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newSpreadFleet(c.vms)
					slowest, who := f.changeAfterLostCalls(t, c.outage, c.bound, c.dead, uint64(seed))
					t.Logf("the slowest VM has it after %s", slowest)
					if slowest > c.bound {
						t.Errorf("%s has it after %s only", who, slowest)
					}
				})
			})
		}
	}
}

// changeAfterLostCalls makes one change, lets the store hold the feed calls that follow it, and
// makes another change as soon as the store answers again. It returns how long the slowest live VM
// took to have the second change, and the name of that VM.
func (f *spreadFleet) changeAfterLostCalls(t *testing.T, outage, bound time.Duration, deadShare float64, seed uint64) (time.Duration, string) {
	const (
		// untilCallsReturn is slightly shorter than the VMs' pause between two feed calls.
		untilCallsReturn = 480 * time.Millisecond
		untilChange      = 10 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(seed, 3))
	stop := f.start(t)
	time.Sleep(3*time.Second + time.Duration(r.IntN(1000))*time.Millisecond)
	f.set(func() {
		f.view = platform.TableView{Version: platform.Version{Revision: 2}, Rows: configuration(fewProfiles, 2)}
	})
	time.Sleep(untilCallsReturn)
	f.set(func() { f.storeSilent = true })
	for i, vm := range f.sortedVMs() {
		vm.dead.Store(r.Float64() < deadShare && i > 0)
	}
	time.Sleep(outage)
	f.set(func() { f.storeSilent = false })
	time.Sleep(untilChange)
	for _, vm := range f.vms {
		f.clearInForce(vm)
	}
	accepted := time.Now()
	f.set(func() {
		f.view = platform.TableView{Version: platform.Version{Revision: 3}, Rows: configuration(fewProfiles, 3)}
	})
	time.Sleep(bound + 10*time.Second)
	stop()
	return f.slowest(accepted)
}

// fewProfiles is the size of the configuration. It is small because these tests are about waiting
// and not about copying.
const fewProfiles = 20

// clearInForce discards the time at which the VM had an earlier configuration.
func (f *spreadFleet) clearInForce(vm *spreadVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.inForce = time.Time{}
}

// Guards against needless calls to the store. Each VM could confirm its copy by itself, but one of
// them asks the store and the others learn from it: without faults six VMs make 2.8 calls a second
// for a table, 0.7 pending feed calls included, instead of 7 if each VM asked.
func TestCalmFleetSharesItsQuestions(t *testing.T) {
	for _, c := range []struct {
		vms int
		// most is the limit of the calls a second that all VMs make for one table.
		most float64
		// watched is the time of observation in seconds.
		watched int
	}{{6, 3.5, 60}, {90, 8, 60}, {320, 14, 15}} {
		t.Run(fmt.Sprintf("%d VMs", c.vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSpreadFleet(c.vms)
				stop := f.start(t)
				time.Sleep(5 * time.Second)
				before := f.callCount()
				oldest := time.Duration(0)
				for range 10 * c.watched {
					time.Sleep(time.Second / 10)
					oldest = max(oldest, f.maxCopyAge())
				}
				rate := float64(f.callCount()-before) / float64(c.watched)
				t.Logf("%.2f calls a second, the oldest copy was confirmed %s before", rate, oldest)
				if rate > c.most {
					t.Errorf("%.2f calls a second", rate)
				}
				stop()
			})
		})
	}
}

// A fleet starts while replicas come and go, so each VM reads the configuration at a different
// revision of the store, although the configuration has not changed and does not change later. The
// VMs must learn from the few that follow the feed that their copies are current. Otherwise each
// would ask the store every second, or refuse requests with unknown keys with 503.
func TestTableThatStandsStillWhileOthersMoveIsConfirmedByPeers(t *testing.T) {
	const (
		watched = 20 // seconds
		// most is the limit of the calls a second that the fleet makes for one table.
		most = 8
	)
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleet(90)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, vm := range f.sortedVMs() {
			running.Go(func() { vm.follower.Run(ctx) })
			time.Sleep(20 * time.Millisecond)
			f.advanceRevision()
		}
		time.Sleep(5 * time.Second)
		before, oldest := f.callCount(), time.Duration(0)
		for range 10 * watched {
			time.Sleep(time.Second / 10)
			f.advanceRevision()
			oldest = max(oldest, f.maxCopyAge())
		}
		rate := float64(f.callCount()-before) / watched
		t.Logf("%.2f calls a second, the oldest copy was confirmed %s before", rate, oldest)
		if rate > most || oldest > 2500*time.Millisecond {
			t.Errorf("%.2f calls a second, %v at most; the oldest copy was confirmed %s before", rate, most, oldest)
		}
		cancel()
		running.Wait()
	})
}

// advanceRevision advances the store's revision, as a change of another table does.
func (f *spreadFleet) advanceRevision() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revisionOffset++
}

// The store of a fleet of 195 VMs rejects every call for a while. It must only be called by the
// VMs that follow the feed, at their retry delay, and by the others in their turns, together 25
// times a second. Calls by which each VM checks whether its copy is current would add to that at
// the moment at which all copies reach their maximum age, and again whenever a copy was confirmed
// in between.
func TestOutageIsMetInTurns(t *testing.T) {
	const (
		outage       = 8 * time.Second
		retriesOfOne = 5  // a second, of a VM that follows the feed
		turns        = 25 // a second, of all others together
	)
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleetOf(195, 5)
		stop := f.start(t)
		defer stop()
		time.Sleep(5 * time.Second)
		following := 0
		for _, vm := range f.vms {
			if vm.follows {
				following++
			}
		}
		f.set(func() { f.storeDown = true })
		before := f.callCount()
		time.Sleep(outage)
		calls, most := f.callCount()-before, (following*retriesOfOne+turns)*int(outage/time.Second)
		t.Logf("%d calls for one table, %d VMs follow the feed", calls, following)
		if calls > most {
			t.Errorf("%d calls, %d at most", calls, most)
		}
	})
}

// callCount returns the number of calls that have reached the store.
func (f *spreadFleet) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *spreadFleet) maxCopyAge() time.Duration {
	oldest := time.Duration(0)
	for _, vm := range f.vms {
		oldest = max(oldest, vm.follower.Age())
	}
	return oldest
}
