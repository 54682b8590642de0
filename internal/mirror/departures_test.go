package mirror

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/harness/standin/feedsim"
	"geraniumcroft/internal/platform"
)

const (
	// stability is the time after a fault from which on the store, or a VM, counts as stable.
	stability = 3 * time.Second
	// rewritten is the time after an outage within which live replicas have written their entries again,
	// expiry the silence after which an entry is deleted.
	rewritten = 2 * time.Second
	expiry    = 3600 * time.Millisecond
	// sampleInterval is the time between two looks at which VMs use an entry.
	sampleInterval = 20 * time.Millisecond
)

// departureFleet is a fleet whose store loses entries in outages, refuses calls and turns VMs away, while
// replicas are removed without a word.
type departureFleet struct {
	*spreadFleet
	t      *testing.T
	store  *feedsim.Store
	feeds  map[string]*feedsim.Client
	random *rand.Rand
	// bound is the time after the removal of an entry within which no VM uses it.
	bound time.Duration
}

func newDepartureFleet(t *testing.T, size fleetBound, seed uint64) *departureFleet {
	f := &departureFleet{
		t: t, store: feedsim.NewStore(), feeds: map[string]*feedsim.Client{}, random: rand.New(rand.NewPCG(seed, 9)),
		bound: size.bound,
	}
	f.spreadFleet = newSpreadFleetWith(size.vms, size.dataCentres, func(vm *spreadVM, o *follow.Options) {
		f.feeds[vm.Name] = f.store.Client(nil)
		o.Feed, o.OnChange = f.feeds[vm.Name], func(platform.TableView) {}
		o.Logger = zap.NewNop()
	})
	return f
}

func (f *departureFleet) put(key string) { f.store.Put(spreadTable, key, []byte("entry")) }

// uses reports whether a VM uses an entry that it had: it is listed, or may come back.
func (f *departureFleet) uses(vm *spreadVM, key string) bool {
	_, listed := vm.follower.View().Rows[key]
	return listed || vm.follower.Settling()
}

// pause sleeps for a random time up to the limit.
func (f *departureFleet) pause(limit time.Duration) {
	time.Sleep(time.Duration(f.random.Int64N(int64(limit))))
}

// refuse makes the store refuse all calls for a time in which no entry expires.
func (f *departureFleet) refuse() {
	f.store.SetAway(true)
	time.Sleep(100*time.Millisecond + time.Duration(f.random.IntN(400))*time.Millisecond)
	f.store.SetAway(false)
}

// loseEntry plays an outage in which an entry expires, and checks that no VM takes it for removed before its
// replica has had the time to write it again.
func (f *departureFleet) loseEntry(key string) {
	f.store.SetAway(true)
	time.Sleep(expiry + time.Duration(f.random.IntN(4000))*time.Millisecond)
	f.store.Delete(spreadTable, key)
	f.store.SetAway(false)
	for returned := time.Now(); time.Since(returned) < rewritten; time.Sleep(sampleInterval) {
		for _, vm := range f.sortedVMs() {
			if !f.uses(vm, key) {
				f.t.Errorf("%s drops an entry %s after the store's return", vm.Name, time.Since(returned))
				return
			}
		}
	}
	f.put(key)
	time.Sleep(stability)
}

// cutOff takes the way to the store from some VMs, in one of two forms, and returns the function that gives it
// back. These VMs have peers, so they stay in touch.
func (f *departureFleet) cutOff() (restore func()) {
	var cut []*feedsim.Client
	for _, vm := range f.sortedVMs() {
		feed := f.feeds[vm.Name]
		switch f.random.IntN(8) {
		case 0:
			feed.Rejected.Store(true)
		case 1:
			feed.CutOff.Store(true)
		default:
			continue
		}
		cut = append(cut, feed)
	}
	return func() {
		for _, feed := range cut {
			feed.Rejected.Store(false)
			feed.CutOff.Store(false)
		}
	}
}

// remove deletes an entry and checks that no VM uses it after the bound. A VM that has dropped an entry does
// not use it again until it is listed.
func (f *departureFleet) remove(key string) {
	f.store.Delete(spreadTable, key)
	removed, using := time.Now(), f.sortedVMs()
	for ; time.Since(removed) < f.bound+stability; time.Sleep(sampleInterval) {
		using = slices.DeleteFunc(using, func(vm *spreadVM) bool { return !f.uses(vm, key) })
		if len(using) > 0 && time.Since(removed) > f.bound {
			f.t.Errorf("%s uses an entry %s after its removal", using[0].Name, time.Since(removed))
			return
		}
	}
}

// play goes through rounds of faults, each with the removal of a replica.
func (f *departureFleet) play(rounds int) {
	for round := range rounds {
		departing, staying := fmt.Sprint("departing-", round), fmt.Sprint("staying-", round)
		f.put(departing)
		f.put(staying)
		time.Sleep(stability)
		if f.random.IntN(2) == 0 {
			f.loseEntry(staying)
		}
		restore := func() {}
		if f.random.IntN(2) == 0 {
			restore = f.cutOff()
			f.pause(6 * time.Second)
		}
		for range f.random.IntN(3) {
			f.refuse()
			f.pause(time.Second)
		}
		f.remove(departing)
		restore()
	}
}

// Guards against a removed replica that stays in use, because refused calls or a lost way to the store are
// taken for an outage in which entries expire, and against one that is dropped though its entry expired in one.
func TestDepartedReplicasAreLeftInTime(t *testing.T) {
	for _, size := range []fleetBound{{6, 3, 2 * time.Second, 20}, {88, 3, 3 * time.Second, 3}, {195, 5, 4 * time.Second, 2}} {
		for seed := range size.seeds {
			t.Run(fmt.Sprintf("%d VMs, seed %d", size.vms, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newDepartureFleet(t, size, uint64(seed))
					f.put("first")
					stop := f.start(t)
					defer stop()
					time.Sleep(stability)
					f.play(4)
				})
			})
		}
	}
}
