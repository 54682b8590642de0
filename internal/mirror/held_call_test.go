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

// A workspace's key is added and acknowledged, and 2.2 s later a caller with it gets 401; VMs
// serve a profile as it stood four changes before. A change reaches all VMs at once, so half a
// second later all call the store's feed again. The store falls silent just then: it holds
// these calls and never answers them, also when it is back. Each VM waited 9 s for an answer,
// and no peer had anything newer. Evidence: on six VMs the calls ended by their own bound,
// 9.0 s after they were sent and within 9 ms of each other, while other calls of the same VMs
// had been answered for three seconds.
func TestHeldCallsDoNotHideAChange(t *testing.T) {
	for _, c := range []struct {
		vms   int
		bound time.Duration
		// outage is for how long the store is silent.
		outage time.Duration
		// dead is a part of the VMs that stop answering their peers when the store does.
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
					slowest, who := f.changeAfterSilence(t, c.outage, c.bound, c.dead, uint64(seed))
					t.Logf("the slowest VM has it after %s", slowest)
					if slowest > c.bound {
						t.Errorf("%s has it after %s only", who, slowest)
					}
				})
			})
		}
	}
}

// changeAfterSilence makes one change, lets the store hold the calls that follow it, and
// makes another change as soon as the store answers again. It returns how long the slowest
// living VM took to have that one, and which VM it was.
func (f *spreadFleet) changeAfterSilence(t *testing.T, outage, bound time.Duration, deadPart float64, seed uint64) (time.Duration, string) {
	const (
		// untilCallsReturn is a bit less than the VMs' pause between two calls of the feed.
		untilCallsReturn = 480 * time.Millisecond
		untilChange      = 10 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(seed, 3))
	stop := f.start(t)
	time.Sleep(3*time.Second + time.Duration(r.IntN(1000))*time.Millisecond)
	f.set(func() { f.view = platform.TableView{Revision: 2, Rows: configuration(profilesOfSilence, 2)} })
	time.Sleep(untilCallsReturn)
	f.set(func() { f.silent = true })
	for i, vm := range f.inOrder() {
		vm.dead.Store(r.Float64() < deadPart && i > 0)
	}
	time.Sleep(outage)
	f.set(func() { f.silent = false })
	time.Sleep(untilChange)
	for _, vm := range f.vms {
		f.forget(vm)
	}
	accepted := time.Now()
	f.set(func() { f.view = platform.TableView{Revision: 3, Rows: configuration(profilesOfSilence, 3)} })
	time.Sleep(bound + 10*time.Second)
	stop()
	return f.slowest(accepted)
}

// profilesOfSilence is the size of the configuration: small, as it is the waiting that is
// tried here and not the copying.
const profilesOfSilence = 20

// forget drops when a VM had an earlier configuration.
func (f *spreadFleet) forget(vm *spreadVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.inForce = time.Time{}
}

// Every VM could confirm its copy by itself; each call to the store costs, so one asks and
// the others learn from it. In calm times six VMs make 2.8 calls a second for a table, with
// the waiting ones (0.7), where each asking by itself would make 7.
func TestCalmFleetSharesItsQuestions(t *testing.T) {
	for _, c := range []struct {
		vms int
		// most is how many calls a second all VMs make for one table.
		most float64
		// watched is for how many seconds.
		watched int
	}{{6, 3.5, 60}, {90, 8, 60}, {320, 14, 15}} {
		t.Run(fmt.Sprintf("%d VMs", c.vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSpreadFleet(c.vms)
				stop := f.start(t)
				time.Sleep(5 * time.Second)
				before := f.counted()
				oldest := time.Duration(0)
				for range 10 * c.watched {
					time.Sleep(time.Second / 10)
					oldest = max(oldest, f.oldestCopy())
				}
				rate := float64(f.counted()-before) / float64(c.watched)
				t.Logf("%.2f calls a second, the oldest copy was confirmed %s before", rate, oldest)
				if rate > c.most {
					t.Errorf("%.2f calls a second", rate)
				}
				stop()
			})
		})
	}
}

// A fleet starts while replicas come and go, so each VM reads the configuration at another
// revision of the store, though nothing has changed in it. Nobody changes it afterwards either.
// The VMs must learn of the few that follow the feed that their copies are in force: each would
// ask the store by itself every second, or refuse with 503 the callers that it doesn't know.
func TestTableThatStandsStillWhileOthersMoveIsConfirmedByPeers(t *testing.T) {
	const (
		watched = 20 // seconds
		// most is how many calls a second the fleet makes for one table in calm times.
		most = 8
	)
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleet(90)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, vm := range f.inOrder() {
			running.Go(func() { vm.follower.Run(ctx) })
			time.Sleep(20 * time.Millisecond)
			f.move()
		}
		time.Sleep(5 * time.Second)
		before, oldest := f.counted(), time.Duration(0)
		for range 10 * watched {
			time.Sleep(time.Second / 10)
			f.move()
			oldest = max(oldest, f.oldestCopy())
		}
		rate := float64(f.counted()-before) / watched
		t.Logf("%.2f calls a second, the oldest copy was confirmed %s before", rate, oldest)
		if rate > most || oldest > 2500*time.Millisecond {
			t.Errorf("%.2f calls a second, %v at most; the oldest copy was confirmed %s before", rate, most, oldest)
		}
		cancel()
		running.Wait()
	})
}

// move moves the store's revision on by a change of another table.
func (f *spreadFleet) move() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moved++
}

// The store of a fleet of 195 VMs turns all away for a while. It is met by those that follow the
// feed, at their pause, and by the others in their turns, 25 a second together. A question of
// each VM for whether its copy is the newest would come on top of that, at the moment in which
// all copies turn old, and again whenever a copy was confirmed in between.
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
		f.set(func() { f.away = true })
		before := f.counted()
		time.Sleep(outage)
		calls, most := f.counted()-before, (following*retriesOfOne+turns)*int(outage/time.Second)
		t.Logf("%d calls for one table, %d VMs follow the feed", calls, following)
		if calls > most {
			t.Errorf("%d calls, %d at most", calls, most)
		}
	})
}

// counted returns how many calls have reached the store.
func (f *spreadFleet) counted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func (f *spreadFleet) oldestCopy() time.Duration {
	oldest := time.Duration(0)
	for _, vm := range f.vms {
		oldest = max(oldest, vm.follower.Age())
	}
	return oldest
}
