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
	// callTime is the duration of a call between two VMs, callTimeout the time limit of a call, and
	// pollInterval the pause between two requests of a VM for any table.
	callTime     = 2 * time.Millisecond
	pollInterval = time.Second
	callTimeout  = 300 * time.Millisecond
	// maxPolled limits the VMs that are polled until one answers.
	maxPolled = 3
	// smallFleet is the largest number of VMs at which a change is offered to all of them.
	smallFleet = 16
	// deathAfter is how long the VM that saw the last crash lives, offerLossDuration how long offers are
	// lost.
	deathAfter        = 100 * time.Millisecond
	offerLossDuration = 700 * time.Millisecond
)

// fleet is a set of VMs that exchange reports in virtual time.
type fleet struct {
	random    *rand.Rand
	table     *platformsim.Store
	vms       map[string]*fleetVM
	followers []string
	// offered are the followers by data centre.
	offered []dataCentreFollowers

	mu   sync.Mutex // guards the fields below
	dead map[string]bool
	// dropOffersUntil is the time until which offers are lost.
	dropOffersUntil time.Time
}

// dataCentreFollowers are the VMs of a data centre that others ask, and those of them that follow
// the store's feed.
type dataCentreFollowers struct{ feed, all []string }

type fleetVM struct {
	*Syncer
	fleet       *fleet
	name        string
	eras        *platform.Eras
	unreachable map[string]bool
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
	feedFollowers := census.FeedFollowersOf(all)
	for dataCentre, some := range census.FollowersOf(all) {
		var names []string
		for _, vm := range some {
			f.followers = append(f.followers, vm.Name)
			names = append(names, vm.Name)
		}
		f.offered = append(f.offered, dataCentreFollowers{feed: names[:len(feedFollowers[dataCentre])], all: names})
	}
	for _, vm := range all {
		f.start(ctx, vm.Name)
	}
	return f
}

func (f *fleet) start(ctx context.Context, name string) *fleetVM {
	vm := &fleetVM{fleet: f, name: name, unreachable: map[string]bool{}, eras: platform.NewEras(zap.NewNop())}
	vm.eras.Raise(0)
	vm.Syncer = New(Options{
		Ledger: quarantine.NewLedger(quarantine.DefaultSettings, time.Now()), Peers: vm, Table: f.table, Eras: vm.eras, Logger: zap.NewNop(),
		ShouldLoad: func() bool { return f.follows(name) },
	})
	f.mu.Lock()
	f.vms[name] = vm
	f.mu.Unlock()
	go vm.Run(ctx)
	go vm.pollPeers(ctx)
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

// call waits for the duration of a call and returns the VM with that name, or nil after callTimeout if
// it is dead.
func (f *fleet) call(ctx context.Context, name string) *fleetVM {
	f.mu.Lock()
	vm, dead := f.vms[name], f.dead[name]
	f.mu.Unlock()
	if dead {
		sleep.For(ctx, callTimeout)
		return nil
	}
	sleep.For(ctx, callTime)
	return vm
}

// pollPeers requests another table from a follower every pollInterval, as each VM does.
func (vm *fleetVM) pollPeers(ctx context.Context) {
	vm.fleet.mu.Lock()
	pause := time.Duration(vm.fleet.random.Int64N(int64(pollInterval)))
	vm.fleet.mu.Unlock()
	for sleep.For(ctx, pause) {
		pause = pollInterval
		vm.fleet.mu.Lock()
		order := vm.fleet.random.Perm(len(vm.fleet.followers))[:maxPolled]
		vm.fleet.mu.Unlock()
		for _, i := range order {
			if vm.poll(ctx, vm.fleet.followers[i]) {
				break
			}
		}
	}
}

// poll requests a table from one VM and reports whether it answered. A VM that did not is skipped from
// then on.
func (vm *fleetVM) poll(ctx context.Context, name string) bool {
	if name == vm.name || vm.unreachable[name] {
		return false
	}
	other := vm.fleet.call(ctx, name)
	if other == nil {
		vm.unreachable[name] = true
		return false
	}
	if revision := other.Ledger.Revision(); revision > 0 {
		vm.ObserveRevision(name, revision)
	}
	return true
}

// OfferAll implements Peers. In a large fleet two feed followers of each data centre get the offer
// and forward it, as in package mirror.
func (vm *fleetVM) OfferAll(ctx context.Context, _ string, change platform.TableChange, age time.Duration) int {
	forwardTo, lost := vm.fleet.offerTargets()
	var taken atomic.Int32
	var offering sync.WaitGroup
	for name, others := range forwardTo {
		offering.Go(func() {
			if vm.offerTo(ctx, name, change, age, lost) {
				taken.Add(1)
				for _, other := range others {
					offering.Go(func() { vm.offerTo(ctx, other, change, age, lost) })
				}
			}
		})
	}
	offering.Wait()
	return int(taken.Load())
}

// offerTargets returns the VMs that get an offer, each with those to which it forwards it, and
// whether offers are lost now.
func (f *fleet) offerTargets() (forwardTo map[string][]string, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	forwardTo = map[string][]string{}
	if len(f.vms) <= smallFleet {
		for name := range f.vms {
			forwardTo[name] = nil
		}
		return forwardTo, time.Now().Before(f.dropOffersUntil)
	}
	for _, d := range f.offered {
		for _, i := range f.random.Perm(len(d.feed))[:2] {
			forwardTo[d.feed[i]] = d.all
		}
	}
	return forwardTo, time.Now().Before(f.dropOffersUntil)
}

// offerTo offers a change to one VM and reports whether it has taken it.
func (vm *fleetVM) offerTo(ctx context.Context, name string, change platform.TableChange, age time.Duration, lost bool) bool {
	other := vm.fleet.call(ctx, name)
	if other == nil || other == vm || lost {
		return false
	}
	other.Apply(change, age)
	return true
}

// FetchFrom implements Peers.
func (vm *fleetVM) FetchFrom(ctx context.Context, address, _ string, after platform.Version) (platform.TableChange, time.Duration, bool) {
	other := vm.fleet.call(ctx, address)
	if other == nil {
		return platform.TableChange{}, 0, false
	}
	return other.Since(after.Revision)
}

// recordCrash records the crash of a replica on this VM.
func (vm *fleetVM) recordCrash(d quarantine.Digest, replica string) {
	vm.recordCrashOf(quarantine.RequestIdentity(d), replica)
}

// recordCrashOf is recordCrash for any identity.
func (vm *fleetVM) recordCrashOf(id quarantine.Identity, replica string) {
	if vm.Ledger.RecordCrash(id, incarnation.Key{ID: replica, Born: 1}, time.Now()) {
		vm.Publish(id.Digest)
	}
}

// notQuarantined counts the live VMs that would still send the request.
func (f *fleet) notQuarantined(d quarantine.Digest) int {
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

func (f *fleet) dropOffersFor(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropOffersUntil = time.Now().Add(d)
}

func (f *fleet) kill(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.dead[name] = true
	}
}

var crashing = quarantine.DigestOf(quarantine.Content{Body: []byte("crashes replicas")})

// Guards against VMs that still send a request because they have not seen its crashes themselves: three
// VMs saw one crash each, and all VMs must quarantine the request within the bound.
func TestQuarantineReachesAllVMsInTime(t *testing.T) {
	testQuarantineReachesAllVMs(t, quarantine.RequestIdentity(crashing), 700*time.Millisecond)
}

// Guards against VMs that still send requests with a part that crashes replicas because they have not seen the
// crashes themselves.
func TestQuarantineOfAPartReachesAllVMsInTime(t *testing.T) {
	part := quarantine.PartIdentities("drafts", []string{"crashing part"})[0]
	testQuarantineReachesAllVMs(t, part, quarantine.DefaultSettings.MinCrashSpacing)
}

// testQuarantineReachesAllVMs lets three VMs see one crash each, with the given pause between the first two.
func testQuarantineReachesAllVMs(t *testing.T, id quarantine.Identity, pause time.Duration) {
	for _, size := range []struct {
		vms   int
		bound time.Duration
	}{{6, 3 * time.Second}, {88, 3 * time.Second}, {195, 5 * time.Second}, {320, 5 * time.Second}} {
		last := fmt.Sprint("vm-", size.vms-3) // sees the third crash
		for name, fault := range map[string]func(f *fleet){
			"the VM that saw the third crash dies": func(f *fleet) { time.AfterFunc(deathAfter, func() { f.kill(last) }) },
			"the store is unavailable":             func(f *fleet) { f.table.Faults.Set(platformsim.Order{Outage: platformsim.OutageUnavailable}) },
			"offers are lost for a while":          func(f *fleet) { f.dropOffersFor(offerLossDuration) },
			"a third of the followers is dead":     func(f *fleet) { f.kill(f.followers[:len(f.followers)/3]...) },
		} {
			t.Run(fmt.Sprint(size.vms, " VMs, ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					f := newFleet(ctx, size.vms)
					time.Sleep(5 * time.Second)
					f.vms[fmt.Sprint("vm-", size.vms-1)].recordCrashOf(id, "a")
					time.Sleep(pause)
					f.vms[fmt.Sprint("vm-", size.vms-2)].recordCrashOf(id, "b")
					time.Sleep(300 * time.Millisecond)
					fault(f)
					f.vms[last].recordCrashOf(id, "c")
					f.start(ctx, "vm-new")
					time.Sleep(size.bound)
					if n := f.notQuarantined(id.Digest); n > 0 {
						t.Errorf("%d VMs have not quarantined the request %s after its third crash", n, size.bound)
					}
					stop()
					synctest.Wait()
				})
			})
		}
	}
}

// Guards against a request that crashes replicas again after all VMs have lost power and restarted, and
// against rows of lifted requests that stay in the table.
func TestQuarantineSurvivesRestartOfAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := newFleet(ctx, 6)
		for _, replica := range []string{"a", "b", "c"} {
			f.vms["vm-0"].recordCrash(crashing, replica)
		}
		time.Sleep(5 * time.Second)
		stop()
		synctest.Wait()
		time.Sleep(time.Minute)
		again, stopAgain := context.WithCancel(t.Context())
		f2 := newFleetOn(again, 6, f.table)
		time.Sleep(3 * time.Second)
		if n := f2.notQuarantined(crashing); n > 0 {
			t.Errorf("%d VMs have not quarantined the request after the restart", n)
		}
		if left := f2.vms["vm-0"].Ledger.Lookup(crashing, time.Now()).Left; left >= quarantine.DefaultSettings.QuarantineTTL-time.Minute {
			t.Errorf("the time without running VMs does not count: %s left", left)
		}
		if !f2.vms["vm-3"].Lift(crashing) {
			t.Error("quarantine could not be lifted")
		}
		time.Sleep(5 * time.Second)
		if n := f2.notQuarantined(crashing); n != len(f2.vms) {
			t.Errorf("the quarantine is lifted on %d of %d VMs", n, len(f2.vms))
		}
		if rows, err := f2.table.Scan(t.Context(), prefix, prefixEnd, maxRows); err != nil || len(rows) != 0 {
			t.Errorf("%d rows left after the quarantine was lifted, error %v", len(rows), err)
		}
		stopAgain()
		synctest.Wait()
	})
}

// Guards against traffic to the store and to peers while no replica has crashed.
func TestNoTrafficWithoutCrashes(t *testing.T) {
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
				t.Errorf("%s announces changes to peers", name)
			}
		}
		stop()
		synctest.Wait()
	})
}

// Guards against a request that is not quarantined any more after all VMs have restarted, and against one
// that is again though an operator lifted its quarantine, because the table came back from an older copy.
func TestQuarantineIsWrittenAgainAfterTableRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := newFleet(ctx, 6)
		lifted := quarantine.DigestOf(quarantine.Content{Body: []byte("lifted")})
		for _, replica := range []string{"a", "b", "c"} {
			f.vms["vm-0"].recordCrash(lifted, replica)
		}
		time.Sleep(5 * time.Second)
		from := f.table.Copy()
		if !f.vms["vm-0"].Lift(lifted) {
			t.Error("quarantine could not be lifted")
		}
		for _, replica := range []string{"a", "b", "c"} {
			f.vms["vm-1"].recordCrash(crashing, replica)
		}
		time.Sleep(5 * time.Second)
		f.table.Restore(from)
		for _, vm := range f.vms {
			vm.eras.Raise(f.table.Era())
		}
		time.Sleep(5 * time.Second)
		rows, err := f.table.Scan(t.Context(), prefix, prefixEnd, maxRows)
		if err != nil || len(rows) != 1 || rows[0].Key != prefix+crashing.String() {
			t.Errorf("rows %v, error %v, want that of the quarantined request alone", rows, err)
		}
		stop()
		synctest.Wait()
	})
}
