package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/platformsim"
)

// takeoverBound is the limit promised to operators.
const takeoverBound = 10 * time.Second

var threeVMs = []string{"vm-a", "vm-b", "vm-c"}

func must(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

// There must never be two holders. A VM is paused past its lease, and its monotonic clock stands
// still meanwhile. By that clock its view would still last when it resumes, but the wall clock
// shows the pause before the VM acts.
func TestHolderPausedPastItsLeaseDoesNotActOnResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs, testDuty)
		defer f.stop()
		paused := f.awaitHolder(testDuty, takeoverBound)
		l, _ := paused.manager.Held(testDuty)
		must(t, l.Check() == nil, "the holder may act before its pause")
		paused.Pause()
		time.Sleep(2 * DefaultTTL)
		paused.Resume()
		must(t, l.Check() != nil, "the holder may act after a pause past its lease")
		must(t, len(f.holders(testDuty)) == 1, "%d holders", len(f.holders(testDuty)))
	})
}

// The duty must move to another VM, and the old holder must stop by itself. All of its renewals
// end without an answer and without effect while its reads still work: a renewal that was not read
// back must not prolong its view.
func TestUnansweredRenewalsDoNotProlongTheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs, testDuty)
		defer f.stop()
		old := f.awaitHolder(testDuty, takeoverBound)
		l, _ := old.manager.Held(testDuty)
		old.HangCommits(true)
		time.Sleep(DefaultTTL)
		must(t, l.Check() != nil, "the view outlived the last renewal that took effect")
		next := f.awaitHolder(testDuty, takeoverBound)
		must(t, next != nil && next != old, "no VM took over")
	})
}

// The holder must not change. The answers of some renewals are lost after the write has taken
// effect; the holder reads back its own transaction and continues with the same fencing number.
func TestLostAnswersOfRenewalsAreReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs, testDuty)
		defer f.stop()
		holder := f.awaitHolder(testDuty, takeoverBound)
		l, _ := holder.manager.Held(testDuty)
		f.store.Faults.Choose(func(op platformsim.Operation) platformsim.Action {
			if op == platformsim.OpCommit {
				return platformsim.Action{Kind: platformsim.ActLoseAnswer}
			}
			return platformsim.Action{}
		})
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			must(t, l.Check() == nil, "the holder lost a lease that it renewed")
		}
	})
}

// During an outage of the store the duty must have no holder, and exactly one soon after it. Views
// end without the table; once it is available again, the first VM to write on the row's old
// revision wins.
func TestNoHolderDuringOutageAndOneAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs, testDuty)
		defer f.stop()
		first := f.awaitHolder(testDuty, takeoverBound)
		before, _ := first.manager.Held(testDuty)
		f.store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
		time.Sleep(30 * time.Minute)
		must(t, len(f.holders(testDuty)) == 0, "a holder without the table")
		f.store.Faults.Set(platformsim.Order{})
		next := f.awaitHolder(testDuty, takeoverBound)
		must(t, next != nil, "no holder after the outage")
		after, _ := next.manager.Held(testDuty)
		must(t, next == first || after.Fencing > before.Fencing, "new holder with fencing number %d after %d", after.Fencing, before.Fencing)
	})
}

// All VMs lose power and restart after longer than a lease lasts. Cards have failed meanwhile, and
// requests are refused for as long as no VM may order layers. No VM has observed how long the
// lease has been unchanged, but the table's clock shows it, so a VM must hold the duty at once.
func TestLeaseFromBeforeALossOfAllPowerIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs, testDuty)
		defer f.stop()
		must(t, f.awaitHolder(testDuty, takeoverBound) != nil, "no holder")
		for _, v := range f.vms {
			f.kill(v)
		}
		f.vms = nil
		time.Sleep(DefaultTTL)
		for _, name := range threeVMs {
			f.start(newVM(name, f.store, hooks{}, testDuty))
		}
		const atOnce = time.Second // hold-off and a tick
		must(t, f.awaitHolder(testDuty, atOnce) != nil, "no holder %s after the start", atOnce)
	})
}

// All VMs lose power and restart at once. The lease of a holder that may still act must not be
// taken, although no VM knows the holder: its view, 4 s of the 5 s, has to end first.
func TestValidLeaseIsNotTakenByNewVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs[:1], testDuty)
		defer f.stop()
		old := f.awaitHolder(testDuty, takeoverBound)
		old.Pause()
		paused := time.Now()
		f.start(newVM(threeVMs[1], f.store, hooks{}, testDuty))
		next := f.vms[1]
		for len(next.manager.Dump().(Dump).Leases) == 0 || !next.manager.Dump().(Dump).Leases[0].Held {
			must(t, time.Since(paused) < takeoverBound, "no VM took over")
			time.Sleep(10 * time.Millisecond)
		}
		must(t, !old.manager.viewValid(old.manager.duties[0]), "taken after %s, while the holder may act", time.Since(paused))
	})
}

// The holder must not change although each answer of the table takes nine tenths of the call
// timeout: a renewal interval with its two slow calls is shorter than a view, which counts from
// before the renewal was sent.
func TestSlowTableDoesNotEndLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs, testDuty)
		defer f.stop()
		holder := f.awaitHolder(testDuty, takeoverBound)
		l, _ := holder.manager.Held(testDuty)
		slow := holder.manager.options.callTimeout() * 9 / 10
		f.store.Faults.Set(platformsim.Order{SlowBy: config.Duration(slow)})
		for range 240 {
			time.Sleep(500 * time.Millisecond)
			must(t, l.Check() == nil, "the holder lost its lease to a slow table")
		}
	})
}

// A planned stop must pass the duty on at once. The row is marked free and keeps its fencing
// number, so that the next holder's number is higher.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs, testDuty)
		defer f.stop()
		first := f.awaitHolder(testDuty, takeoverBound)
		before, _ := first.manager.Held(testDuty)
		f.store.Faults.Set(platformsim.Order{LoseAnswers: 1})
		first.manager.Release(context.Background())
		must(t, before.Check() != nil, "acts are possible after the release")
		next := f.awaitHolder(testDuty, DefaultTTL/2)
		must(t, next != nil && next != first, "no other VM took over")
		after, _ := next.manager.Held(testDuty)
		must(t, after.Fencing == before.Fencing+1, "fencing number %d after %d", after.Fencing, before.Fencing)
	})
}

// Guards against a duty that waits for its lease to expire because its holder cannot do it, and against a
// holder that never competes again.
func TestLeaseThatWasGivenUpIsTakenAtOnceAndCompetedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs, testDuty)
		defer f.stop()
		first := f.awaitHolder(testDuty, takeoverBound)
		before, _ := first.manager.Held(testDuty)
		f.kill(first)
		first.manager.GiveUp(context.Background())
		must(t, before.Check() != nil, "acts are possible after the release")
		next := f.awaitHolder(testDuty, DefaultTTL/2)
		must(t, next != nil && next != first, "no other VM took over")
		for _, other := range f.vms {
			if other != first {
				f.kill(other)
			}
		}
		next.manager.GiveUp(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		f.stops[first.Name] = cancel
		f.done.Go(func() { first.manager.Run(ctx) })
		must(t, f.awaitHolder(testDuty, takeoverBound) == first, "it does not compete again")
	})
}

// A VM is replaced under the same name, and the row of its predecessor is still valid. The
// successor must not treat the lease as its own: the predecessor may only be paused.
func TestSameNameIsNotTheSameHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, []string{"vm-a"}, testDuty)
		defer f.stop()
		old := f.awaitHolder(testDuty, takeoverBound)
		l, _ := old.manager.Held(testDuty)
		successor := newVM("vm-a", f.store, hooks{}, testDuty)
		ctx, cancel := context.WithCancel(context.Background())
		f.done.Go(func() { successor.manager.Run(ctx) })
		defer cancel()
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			_, held := successor.manager.Held(testDuty)
			must(t, !held && l.Check() == nil, "the successor took a valid lease")
		}
	})
}

// Six VMs start together. No VM may end up with all the duties.
func TestDutiesAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		duties := []string{"orders", "sweep", "compact"}
		f := newFleet(hooks{}, []string{"vm-a", "vm-b", "vm-c", "vm-d", "vm-e", "vm-f"}, duties...)
		defer f.stop()
		time.Sleep(takeoverBound)
		holders := map[string]bool{}
		for _, duty := range duties {
			holding := f.holders(duty)
			must(t, len(holding) == 1, "%d holders of %s", len(holding), duty)
			holders[holding[0].Name] = true
		}
		must(t, len(holders) == len(duties), "held by %v", holders)
	})
}

// A VM that starts half a second later must still find a duty without a holder, although the first
// VM could have acquired both by then.
func TestFirstVMLeavesDutiesToLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, []string{"vm-a"}, "orders", "sweep")
		defer f.stop()
		time.Sleep(500 * time.Millisecond)
		f.start(newVM("vm-b", f.store, hooks{}, "orders", "sweep"))
		time.Sleep(takeoverBound)
		a, b := f.holders("orders"), f.holders("sweep")
		must(t, len(a) == 1 && len(b) == 1 && a[0] != b[0], "both duties on one VM")
	})
}

// After Release, an answer of the table that arrives late must not make this VM a holder again.
func TestNoViewAfterRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hooks{}, threeVMs[:1], testDuty)
		defer f.stop()
		v := f.awaitHolder(testDuty, takeoverBound)
		l, _ := v.manager.Held(testDuty)
		before := *v.manager.duties[0].tenure
		v.manager.Release(context.Background())
		v.manager.mu.Lock()
		v.manager.duties[0].tenure = &before // as a late answer would
		v.manager.mu.Unlock()
		must(t, l.Check() != nil && len(f.holders(testDuty)) == 0, "a view after the release")
	})
}

// A contender with a shorter duration must respect the longer duration in a row.
func TestContenderRespectsDurationInRow(t *testing.T) {
	d := duty{record: record{Holder: "vm-a", Duration: config.Duration(time.Minute)}}
	must(t, d.availableAfter(DefaultTTL, false) == time.Minute, "available after %s", d.availableAfter(DefaultTTL, false))
}
