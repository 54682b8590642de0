package sharing

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/census"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/quarantine"
	"geraniumcroft/internal/sleep"
)

const (
	// callTime is what a call between two VMs takes, askPause the pause between two questions of a
	// VM for any table, lostAfter the time limit of a call.
	callTime  = 2 * time.Millisecond
	askPause  = time.Second
	lostAfter = 300 * time.Millisecond
	// askedAtMost is how many VMs are asked until one answers.
	askedAtMost = 3
	// fewVMs is up to how many VMs a change is offered to all of them.
	fewVMs = 16
	// deathAfter is how long a VM lives after it saw an end, offersLost how long offers are lost.
	deathAfter = 100 * time.Millisecond
	offersLost = 700 * time.Millisecond
)

// fleet are VMs that exchange reports in virtual time.
type fleet struct {
	random    *rand.Rand
	table     *platformsim.Store
	vms       map[string]*fleetVM
	followers []string

	mu   sync.Mutex // guards the fields below
	dead map[string]bool
	// loseOffers says until when offers are lost.
	loseOffers time.Time
}

type fleetVM struct {
	*Syncer
	fleet  *fleet
	name   string
	silent map[string]bool
}

func newFleet(ctx context.Context, size int) *fleet {
	return newFleetOn(ctx, size, platformsim.NewStore())
}

func newFleetOn(ctx context.Context, size int, table *platformsim.Store) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(uint64(size), 3)), table: table, vms: map[string]*fleetVM{}, dead: map[string]bool{}}
	var all []census.VM
	for i := range size {
		all = append(all, census.VM{Name: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%5)})
	}
	for _, some := range census.FollowersOf(all) {
		for _, vm := range some {
			f.followers = append(f.followers, vm.Name)
		}
	}
	for _, vm := range all {
		f.start(ctx, vm.Name)
	}
	return f
}

func (f *fleet) start(ctx context.Context, name string) *fleetVM {
	vm := &fleetVM{fleet: f, name: name, silent: map[string]bool{}}
	vm.Syncer = New(Options{
		Ledger: quarantine.NewLedger(quarantine.DefaultSettings, time.Now()), Peers: vm, Table: f.table, Logger: zap.NewNop(),
		ShouldLoad: func() bool { return f.follows(name) },
	})
	f.mu.Lock()
	f.vms[name] = vm
	f.mu.Unlock()
	go vm.Run(ctx)
	go vm.askAround(ctx)
	return vm
}

func (f *fleet) follows(name string) bool {
	for _, follower := range f.followers {
		if follower == name {
			return true
		}
	}
	return false
}

// at returns a VM that answers, after the time that a call takes.
func (f *fleet) at(ctx context.Context, name string) *fleetVM {
	f.mu.Lock()
	vm, dead := f.vms[name], f.dead[name]
	f.mu.Unlock()
	if dead {
		sleep.For(ctx, lostAfter)
		return nil
	}
	sleep.For(ctx, callTime)
	return vm
}

// askAround asks a follower for another table each second, as each VM does.
func (vm *fleetVM) askAround(ctx context.Context) {
	vm.fleet.mu.Lock()
	pause := time.Duration(vm.fleet.random.Int64N(int64(askPause)))
	vm.fleet.mu.Unlock()
	for sleep.For(ctx, pause) {
		pause = askPause
		vm.fleet.mu.Lock()
		order := vm.fleet.random.Perm(len(vm.fleet.followers))[:askedAtMost]
		vm.fleet.mu.Unlock()
		for _, i := range order {
			if vm.ask(ctx, vm.fleet.followers[i]) {
				break
			}
		}
	}
}

// ask asks one VM, and reports whether it answered. One that did not is passed over from then on.
func (vm *fleetVM) ask(ctx context.Context, name string) bool {
	if name == vm.name || vm.silent[name] {
		return false
	}
	other := vm.fleet.at(ctx, name)
	if other == nil {
		vm.silent[name] = true
		return false
	}
	if revision := other.Ledger.Revision(); revision > 0 {
		vm.ObserveRevision(name, revision)
	}
	return true
}

// OfferAll implements Peers.
func (vm *fleetVM) OfferAll(ctx context.Context, _ string, change platform.TableChange, age time.Duration) int {
	vm.fleet.mu.Lock()
	to, lost := vm.fleet.followers, time.Now().Before(vm.fleet.loseOffers)
	if len(vm.fleet.vms) <= fewVMs {
		to = nil
		for name := range vm.fleet.vms {
			to = append(to, name)
		}
	}
	vm.fleet.mu.Unlock()
	var taken atomic.Int32
	var offering sync.WaitGroup
	for _, name := range to {
		offering.Go(func() {
			if other := vm.fleet.at(ctx, name); other != nil && other != vm && !lost {
				other.Apply(change, age)
				taken.Add(1)
			}
		})
	}
	offering.Wait()
	return int(taken.Load())
}

// FetchFrom implements Peers.
func (vm *fleetVM) FetchFrom(ctx context.Context, address, _ string, after uint64) (platform.TableChange, time.Duration, bool) {
	other := vm.fleet.at(ctx, address)
	if other == nil {
		return platform.TableChange{}, 0, false
	}
	return other.Since(after)
}

// see makes a VM see a replica end under a request.
func (vm *fleetVM) see(d quarantine.Digest, replica string) {
	if vm.Ledger.RecordCrash(d, incarnation.Key{ID: replica, Born: 1}, time.Now()) {
		vm.Publish(d)
	}
}

// unaware counts the VMs that would still send the request.
func (f *fleet) unaware(d quarantine.Digest) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for name, vm := range f.vms {
		if !f.dead[name] && !vm.Ledger.Lookup(d, time.Now()).Quarantined {
			n++
		}
	}
	return n
}

func (f *fleet) losesOffersFor(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseOffers = time.Now().Add(d)
}

func (f *fleet) kill(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.dead[name] = true
	}
}

var crashing = quarantine.DigestOf(quarantine.Content{Body: []byte("crashes replicas")})

// Guards against a request that is sent on by VMs that did not see it crash replicas: three VMs
// saw one end each.
func TestThreeEndsSeenByThreeVMsAreKnownEverywhereInTime(t *testing.T) {
	for _, size := range []struct {
		vms   int
		bound time.Duration
	}{{6, 3 * time.Second}, {88, 3 * time.Second}, {195, 5 * time.Second}, {320, 5 * time.Second}} {
		last := fmt.Sprint("vm-", size.vms-3) // sees the third end
		for name, fault := range map[string]func(f *fleet){
			"the VM that saw the third end dies": func(f *fleet) { time.AfterFunc(deathAfter, func() { f.kill(last) }) },
			"the store is away":                  func(f *fleet) { f.table.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable}) },
			"offers are lost for a while":        func(f *fleet) { f.losesOffersFor(offersLost) },
			"a third of the followers is dead":   func(f *fleet) { f.kill(f.followers[:len(f.followers)/3]...) },
		} {
			t.Run(fmt.Sprint(size.vms, " VMs, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					f := newFleet(ctx, size.vms)
					time.Sleep(5 * time.Second)
					f.vms[fmt.Sprint("vm-", size.vms-1)].see(crashing, "a")
					time.Sleep(700 * time.Millisecond)
					f.vms[fmt.Sprint("vm-", size.vms-2)].see(crashing, "b")
					time.Sleep(300 * time.Millisecond)
					fault(f)
					f.vms[last].see(crashing, "c")
					f.start(ctx, "vm-new")
					time.Sleep(size.bound)
					if n := f.unaware(crashing); n > 0 {
						t.Errorf("%d VMs don't know the request %s after its third end", n, size.bound)
					}
					stop()
					synctest.Wait()
				})
			})
		}
	}
}

// Guards against a request that crashes replicas anew after all VMs have lost power.
func TestQuarantineOutlivesAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := newFleet(ctx, 6)
		for _, replica := range []string{"a", "b", "c"} {
			f.vms["vm-0"].see(crashing, replica)
		}
		time.Sleep(5 * time.Second)
		stop()
		synctest.Wait()
		time.Sleep(time.Minute)
		again, stopAgain := context.WithCancel(t.Context())
		f2 := newFleetOn(again, 6, f.table)
		time.Sleep(3 * time.Second)
		if n := f2.unaware(crashing); n > 0 {
			t.Errorf("%d VMs don't know the request any more", n)
		}
		if left := f2.vms["vm-0"].Ledger.Lookup(crashing, time.Now()).Left; left >= quarantine.DefaultSettings.QuarantineTTL-time.Minute {
			t.Errorf("the time without VMs does not count: %s left", left)
		}
		if !f2.vms["vm-3"].Lift(crashing) {
			t.Error("it can't be lifted")
		}
		time.Sleep(5 * time.Second)
		if n := f2.unaware(crashing); n != len(f2.vms) {
			t.Errorf("%d of %d VMs know that it was lifted", n, len(f2.vms))
		}
		if rows, err := f2.table.Scan(t.Context(), prefix, prefixEnd, maxRows); err != nil || len(rows) != 0 {
			t.Errorf("%d rows are left of a request that was lifted, %v", len(rows), err)
		}
		stopAgain()
		synctest.Wait()
	})
}

// Guards against calls to the store and to peers that are made while no replica has crashed.
func TestNothingIsToldWhileNothingIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := newFleet(ctx, 88)
		time.Sleep(time.Minute)
		commits, reads := f.table.Counts()
		if calls := int(commits + reads); calls > len(f.followers) {
			t.Errorf("%d calls to the store by %d followers", calls, len(f.followers))
		}
		for name, vm := range f.vms {
			if vm.Ledger.Revision() != 0 {
				t.Errorf("%s tells peers of news", name)
			}
		}
		stop()
		synctest.Wait()
	})
}
