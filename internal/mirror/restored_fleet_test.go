package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/harness/standin/feedsim"
	"geraniumcroft/internal/platform"
)

// maxRestoreCalls bounds the calls of one feed follower for one table in the 3 s after the store's
// return: a reading and its repetition, and a feed call and a confirmation each half second.
const maxRestoreCalls = 14

// restoredFleet is a fleet before a store that comes back from an older copy.
type restoredFleet struct {
	*spreadFleet
	t      *testing.T
	store  *feedsim.Store
	feeds  map[string]*feedsim.Client
	random *rand.Rand
	// written is the operator's last version.
	written uint64

	mu sync.Mutex // guards the fields below
	// inForce is the version in force on each VM, and reached when it came into force.
	inForce map[string]uint64
	reached map[string]time.Time
}

func newRestoredFleet(t *testing.T, vms, dataCentres int, seed uint64) *restoredFleet {
	f := &restoredFleet{t: t, store: feedsim.NewStore(), random: rand.New(rand.NewPCG(seed, 8)), feeds: map[string]*feedsim.Client{}, inForce: map[string]uint64{}, reached: map[string]time.Time{}}
	f.configure(1)
	f.spreadFleet = newSpreadFleetWith(vms, dataCentres, func(vm *spreadVM, o *follow.Options) {
		eras := platform.NewEras(zap.NewNop())
		f.feeds[vm.Name] = f.store.Client(eras)
		o.Feed, o.Eras, o.ContentVersion = f.feeds[vm.Name], eras, versionOf
		o.OnChange = func(view platform.TableView) { f.onChange(vm, view) }
	})
	return f
}

func versionOf(rows map[string][]byte) (uint64, bool) {
	version, err := strconv.ParseUint(string(rows["config"]), 10, 64)
	return version, err == nil
}

// onChange records the version in force on a VM, which must never go back.
func (f *restoredFleet) onChange(vm *spreadVM, view platform.TableView) {
	version, _ := versionOf(view.Rows)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch before := f.inForce[vm.Name]; {
	case version < before:
		f.t.Errorf("%s went back from version %d to %d", vm.Name, before, version)
	case version > before:
		f.inForce[vm.Name], f.reached[vm.Name] = version, time.Now()
	}
}

// versionOn returns the version in force on a VM.
func (f *restoredFleet) versionOn(vm *spreadVM) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForce[vm.Name]
}

// configure writes a version, and rows of other tables, so that versions are at random revisions.
func (f *restoredFleet) configure(version uint64) {
	f.store.Put(spreadTable, "config", []byte(strconv.FormatUint(version, 10)))
	for range f.random.IntN(8) {
		f.store.Put("other", "row", nil)
	}
}

func (f *restoredFleet) configureNext() {
	f.written++
	f.configure(f.written)
}

func (f *restoredFleet) pause(limit time.Duration) {
	time.Sleep(time.Duration(f.random.Int64N(int64(limit))))
}

// play lets the operator make changes and the store come back from a copy. It returns when the last
// change was written.
func (f *restoredFleet) play() time.Time {
	f.written = 1
	time.Sleep(3 * time.Second)
	from, copied := f.store.Copy(), f.written
	for range 1 + f.random.IntN(4) {
		f.configureNext()
		f.pause(time.Second)
	}
	troubled := f.trouble()
	f.store.SetAway(true)
	f.pause(4 * time.Second)
	f.store.Restore(from)
	f.store.SetAway(false)
	f.pause(2 * time.Second)
	for version := copied + 1; version <= f.written; version++ {
		f.configure(version)
		f.pause(500 * time.Millisecond)
	}
	troubled.end()
	time.Sleep(time.Second)
	f.configureNext()
	return time.Now()
}

// trouble describes the VMs that have faults while the store comes back.
type trouble struct{ end func() }

// trouble cuts one VM off, and lets the store turn another one away.
func (f *restoredFleet) trouble() trouble {
	vms := f.sortedVMs()
	cut, rejected := vms[f.random.IntN(len(vms))], vms[f.random.IntN(len(vms))]
	cut.partitioned.Store(true)
	f.feeds[cut.Name].CutOff.Store(true)
	f.feeds[rejected.Name].Rejected.Store(true)
	return trouble{end: func() {
		cut.partitioned.Store(false)
		f.feeds[cut.Name].CutOff.Store(false)
		f.feeds[rejected.Name].Rejected.Store(false)
	}}
}

// slowestSince returns how long after a time the last VM had the operator's last version, and its name;
// an hour if a VM does not have it.
func (f *restoredFleet) slowestSince(written time.Time) (slowest time.Duration, who string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.vms {
		if f.inForce[name] != f.written {
			return time.Hour, name
		}
		if took := f.reached[name].Sub(written); took > slowest {
			slowest, who = took, name
		}
	}
	return slowest, who
}

func restoredFleetSizes() []fleetBound {
	sizes := []fleetBound{{6, 3, 2 * time.Second, 20}, {88, 3, 3 * time.Second, 4}, {195, 5, 4 * time.Second, 2}}
	if os.Getenv(largeFleets) != "" {
		sizes = append(sizes, fleetBound{985, 5, 5 * time.Second, 1}, fleetBound{1_970, 5, 5 * time.Second, 1})
	}
	return sizes
}

// fleetBound is a size of a fleet, and the time within which a change is in force there.
type fleetBound struct {
	vms, dataCentres int
	bound            time.Duration
	seeds            int
}

// Guards against a fleet that goes back to an older configuration, or misses a later one, when the store
// comes back from an older copy while VMs are cut off or turned away.
func TestConfigurationAfterStoreRestored(t *testing.T) {
	for _, size := range restoredFleetSizes() {
		for seed := range size.seeds {
			t.Run(fmt.Sprintf("%d VMs, seed %d", size.vms, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRestoredFleet(t, size.vms, size.dataCentres, uint64(seed))
					stop := f.start(t)
					written := f.play()
					time.Sleep(size.bound + time.Second)
					stop()
					slowest, who := f.slowestSince(written)
					t.Logf("the slowest VM has it after %s", slowest)
					if slowest > size.bound {
						t.Errorf("%s has version %d after %s only", who, f.written, slowest)
					}
				})
			})
		}
	}
}

// Guards against a fleet whose VMs all read the store when it has come back.
func TestRestoredStoreIsReadByFew(t *testing.T) {
	for _, size := range restoredFleetSizes() {
		t.Run(fmt.Sprint(size.vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestoredFleet(t, size.vms, size.dataCentres, 1)
				stop := f.start(t)
				time.Sleep(3 * time.Second)
				from := f.store.Copy()
				f.written = 1
				f.configureNext()
				time.Sleep(2 * time.Second)
				f.store.SetAway(true)
				time.Sleep(time.Second)
				f.store.Restore(from)
				f.store.SetAway(false)
				calls, bytes := f.store.Calls()
				time.Sleep(3 * time.Second)
				callsAfter, bytesAfter := f.store.Calls()
				stop()
				t.Logf("%d calls and %d bytes in 3 s", callsAfter-calls, bytesAfter-bytes)
				if n := callsAfter - calls; n > maxRestoreCalls*f.feedFollowers() {
					t.Errorf("%d calls in 3 s by %d feed followers", n, f.feedFollowers())
				}
				f.checkEra(2)
			})
		})
	}
}

func (f *restoredFleet) feedFollowers() int {
	n := 0
	for _, vm := range f.vms {
		if vm.follows {
			n++
		}
	}
	return n
}

// checkEra checks that all VMs have a copy of the era.
func (f *restoredFleet) checkEra(era uint64) {
	for _, vm := range f.sortedVMs() {
		if view := vm.follower.View(); view == nil || view.Era != era {
			f.t.Errorf("%s has a copy of %v", vm.Name, view.Version)
		}
	}
}

// Guards against a VM that starts after the store's return and takes the older configuration of the
// copy, while the others have the one that was acknowledged before.
func TestVMThatStartsAfterStoreRestored(t *testing.T) {
	for _, size := range restoredFleetSizes() {
		for _, who := range []string{"vm-0", fmt.Sprint("vm-", size.vms-1)} {
			t.Run(fmt.Sprint(size.vms, " VMs, ", who), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRestoredFleet(t, size.vms, size.dataCentres, 1)
					late := f.vms[who]
					late.dead.Store(true)
					stop := f.startExcept(late)
					time.Sleep(3 * time.Second)
					from := f.store.Copy()
					f.written = 1
					f.configureNext()
					time.Sleep(size.bound)
					f.store.Restore(from)
					time.Sleep(time.Second)
					late.dead.Store(false)
					ctx, cancel := context.WithCancel(t.Context())
					var running sync.WaitGroup
					running.Go(func() { late.follower.Run(ctx) })
					time.Sleep(requestTimeout)
					if got := f.versionOn(late); got != f.written {
						t.Errorf("the VM has version %d %s after its start, the others %d", got, requestTimeout, f.written)
					}
					cancel()
					running.Wait()
					stop()
				})
			})
		}
	}
}

// startExcept runs all VMs but one, until stop is called.
func (f *restoredFleet) startExcept(late *spreadVM) (stop func()) {
	ctx, cancel := context.WithCancel(f.t.Context())
	var running sync.WaitGroup
	for _, vm := range f.vms {
		if vm != late {
			running.Go(func() { vm.follower.Run(ctx) })
		}
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// Guards against a replica that left once the store was stable again and stays in use, because VMs still
// expect missing entries to be written again.
func TestEntryDeletedAfterStoreRestoredIsNotExpectedBack(t *testing.T) {
	// stability is the time after the store's return from which on it counts as stable.
	const stability = 3 * time.Second
	for _, size := range restoredFleetSizes() {
		t.Run(fmt.Sprint(size.vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestoredFleet(t, size.vms, size.dataCentres, 1)
				f.store.Put(spreadTable, "replica", []byte("entry"))
				stop := f.start(t)
				time.Sleep(3 * time.Second)
				from := f.store.Copy()
				f.configure(2)
				time.Sleep(2 * time.Second)
				f.store.SetAway(true)
				time.Sleep(time.Second)
				f.store.Restore(from)
				f.store.SetAway(false)
				time.Sleep(stability)
				f.store.Delete(spreadTable, "replica")
				deleted := time.Now()
				for time.Since(deleted) < size.bound && !f.allDropped("replica") {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("no VM uses it after %s", time.Since(deleted))
				if !f.allDropped("replica") {
					t.Errorf("some VMs use it %s after its entry was deleted", size.bound)
				}
				stop()
			})
		})
	}
}

// allDropped reports whether no VM has the entry or expects it back.
func (f *restoredFleet) allDropped(key string) bool {
	for _, vm := range f.vms {
		if _, listed := vm.follower.View().Rows[key]; listed || vm.follower.Settling() {
			return false
		}
	}
	return true
}
