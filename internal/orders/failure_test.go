package orders

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/lease"
)

const (
	fencing  = "f-0"
	ignoring = "i-0"
	// pastLease is a pause longer than the lease and the wait for old orders.
	pastLease = 40 * time.Second
)

// pauseHolderUntilReplaced pauses the holder between its check of the lease and its order for v2.
// Meanwhile the configuration changes to v3, which the next holder orders.
func pauseHolderUntilReplaced(t *testing.T, f *fleet, target string, pause time.Duration) {
	t.Helper()
	old := f.awaitHolder(t)
	old.link.failOnce(orderFault{pause: pause})
	f.change(target, "v2")
	await(t, 10*time.Second, "the holder is paused in its order", func() bool { return f.holder() == nil || f.holder() != old })
	f.change(target, "v3")
	await(t, 20*time.Second, "another holder", func() bool { return f.holder() != nil && f.holder() != old })
}

// acceptedVersions returns the versions that were applied one after the other.
func acceptedVersions(e *fakeEngine) []string {
	var list []string
	for _, got := range e.allReceived() {
		if got.accepted && (len(list) == 0 || list[len(list)-1] != got.order.Version) {
			list = append(list, got.order.Version)
		}
	}
	return list
}

// The old holder resumes between its check and its order for v2 long after its lease has expired.
// The engine has seen the new holder's fencing number and refuses the order, so v3 stays in force.
func TestHolderPausedBetweenCheckAndOrderOnFencingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, fencingTarget(fencing))
		defer f.stop()
		pauseHolderUntilReplaced(t, f, fencing, pastLease)
		f.awaitVersion(t, fencing, "v3")
		time.Sleep(pastLease)
		_, _, refused, _ := f.engines[fencing].counts()
		must(t, refused == 1, "%d orders refused", refused)
		must(t, f.engines[fencing].read().Version == "v3", "in force: %s", f.engines[fencing].read().Version)
	})
}

// The engine ignores fencing numbers. The old holder's order for v2 arrives after its lease has
// expired, but before the new holder's first order for v3, which waits for as long as an old order
// can take effect. So v2 is followed by v3.
func TestHolderPausedBetweenCheckAndOrderOnIgnoringEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		pauseHolderUntilReplaced(t, f, ignoring, 11*time.Second)
		f.awaitVersion(t, ignoring, "v3")
		time.Sleep(pastLease)
		got := acceptedVersions(f.engines[ignoring])
		must(t, len(got) == 2 && got[0] == "v2" && got[1] == "v3", "in force one after the other: %v", got)
		_, _, _, aborted := f.engines[ignoring].counts()
		must(t, aborted == 0, "%d requests aborted", aborted)
	})
}

// The old holder is paused between its check and its order for v2, and the operator goes back to
// v1, which the engine still holds. Guards against a new holder that ends the drain because the
// engine matches its entry: the old order may still arrive, reload the engine and abort requests.
func TestDrainIsKeptUntilOldOrdersHaveArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		old := f.awaitHolder(t)
		old.link.failOnce(orderFault{pause: 11 * time.Second})
		f.change(ignoring, "v2")
		await(t, 20*time.Second, "another holder", func() bool { return f.holder() != nil && f.holder() != old })
		f.change(ignoring, "v1")
		e := f.engines[ignoring]
		f.done.Go(func() { sendRequests(rand.New(rand.NewPCG(1, 1)), f.drains, e, time.Now().Add(time.Minute)) })
		time.Sleep(time.Minute)
		got := acceptedVersions(e)
		must(t, len(got) == 2 && got[0] == "v2" && got[1] == "v1", "in force one after the other: %v", got)
		_, _, _, aborted := e.counts()
		must(t, aborted == 0, "%d requests aborted", aborted)
		must(t, len(f.drains.list()) == 0, "the drain is not ended")
	})
}

// The order that gave the engine the new fencing number was answered and had nothing to change.
// The next order does not have to wait until that one can no longer take effect, so a change is in
// force a few seconds after a change of holder.
func TestFencingUpdateDoesNotDelayTheNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{}, fencingTarget(fencing))
		defer f.stop()
		e := f.engines[fencing]
		await(t, 20*time.Second, "the engine has the number", func() bool { return e.read().Fencing > 0 })
		f.change(fencing, "v2")
		await(t, testSettings().MaxOrderDelay/2, "v2", func() bool { return e.read().Version == "v2" })
	})
}

// The old holder is paused between check and order for longer than the wait for old orders, and
// the engine ignores fencing numbers. v2 is in force for some seconds after v3, until reading back
// finds and repairs it.
func TestOrderLaterThanAnyWaitIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		pauseHolderUntilReplaced(t, f, ignoring, pastLease)
		f.awaitVersion(t, ignoring, "v3")
		f.awaitVersion(t, ignoring, "v2")
		f.awaitVersion(t, ignoring, "v3")
	})
}

// An order takes effect late and its answer is lost. The controller waits for as long as the order
// can take effect and sends nothing again, so the engine loads once.
func TestOrderWithLostAnswerIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		f.awaitHolder(t).link.failOnce(orderFault{loseAnswer: true, delay: 6 * time.Second})
		f.change(ignoring, "v2")
		f.awaitVersion(t, ignoring, "v2")
		time.Sleep(time.Minute)
		orders, reloads, _, _ := f.engines[ignoring].counts()
		must(t, orders == 1 && reloads == 1, "%d orders, %d reloads", orders, reloads)
	})
}

// An order and its answer are lost. The order is sent again only when it should no longer be able
// to take effect, with the same ID: if the first copy arrives even later, it changes nothing, so
// the engine loads once.
func TestLostOrderIsResentWithItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		m := f.awaitHolder(t)
		m.link.failOnce(orderFault{loseAnswer: true, delay: testSettings().MaxOrderDelay + 2*time.Second})
		f.change(ignoring, "v2")
		f.awaitVersion(t, ignoring, "v2")
		time.Sleep(time.Minute)
		got := f.engines[ignoring].allReceived()
		must(t, len(got) == 2, "%d orders", len(got))
		must(t, got[0].order.ID == got[1].order.ID, "resent with another ID")
		must(t, got[0].reloaded != got[1].reloaded, "reloaded twice, or never")
	})
}

// The controller sends orders while an earlier one is unresolved, an injected fault. The engine
// then counts more than one order.
func TestUnresolvedOrderSentAgainIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{resendUnresolved: true}, ignoringTarget(ignoring))
		defer f.stop()
		f.awaitHolder(t).link.failOnce(orderFault{loseAnswer: true, delay: 3 * time.Second})
		f.change(ignoring, "v2")
		f.awaitVersion(t, ignoring, "v2")
		time.Sleep(time.Minute)
		orders, _, _, _ := f.engines[ignoring].counts()
		must(t, orders > 1, "the injected fault was not detected")
	})
}

// A request that was sent just before the drain was confirmed reaches the engine after it. Guards
// against a reload that aborts the request: the order is sent only when it has ended.
func TestNoReloadWhileRequestsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		f.awaitHolder(t)
		e := f.engines[ignoring]
		f.change(ignoring, "v2")
		await(t, 10*time.Second, "the drain", func() bool { return f.drains.confirmed(ignoring) })
		time.Sleep(400 * time.Millisecond) // less than VisibilityDelay
		e.addWork(1)
		time.Sleep(5 * time.Minute)
		orders, _, _, _ := e.counts()
		must(t, orders == 0, "ordered while a request runs")
		e.addWork(-1)
		f.awaitVersion(t, ignoring, "v2")
		await(t, 30*time.Second, "the drain's end", func() bool { return len(f.drains.list()) == 0 })
		_, _, _, aborted := e.counts()
		must(t, aborted == 0, "%d requests aborted", aborted)
	})
}

// The engine's answer to a query of its state is slow. A request that was sent before the drain was
// confirmed arrives after the engine has written that no requests are running and before that
// answer is read. Guards against a reload that aborts the request.
func TestNoReloadOnAnOutdatedState(t *testing.T) {
	settings := testSettings()
	settings.RetryInterval = 250 * time.Millisecond
	settings.VisibilityDelay = 2450 * time.Millisecond // the last state but one is older by the delay of the answer
	for late := time.Second; late < settings.VisibilityDelay; late += 25 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetWith(settings, 1, hooks{}, ignoringTarget(ignoring))
			defer f.stop()
			f.awaitHolder(t).link.slowState = 900 * time.Millisecond
			e := f.engines[ignoring]
			f.change(ignoring, "v2")
			await(t, 10*time.Second, "the drain", func() bool { return f.drains.confirmed(ignoring) })
			time.Sleep(late)
			e.addWork(1)
			time.Sleep(10 * time.Second)
			e.addWork(-1)
			f.awaitVersion(t, ignoring, "v2")
			_, _, _, aborted := e.counts()
			must(t, aborted == 0, "%d requests aborted, sent %s after the drain", aborted, late)
		})
	}
}

// The new holder's configuration is old: in it the target is drained and to hold v2, while an
// earlier holder has meanwhile loaded v3 and ended the drain. Guards against an order that aborts
// requests: the holder reads the table's configuration before an order, and then sends none.
func TestHolderWithAnOldConfigurationSendsNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{}, fencingTarget(fencing))
		defer f.stop()
		refresh := func() {
			if f.source.Current().Targets[fencing].Version != "v3" {
				f.change(fencing, "v3")
			}
		}
		f.refresh.Store(&refresh)
		f.engines[fencing].setState(engine.State{Model: "writer", Version: "v3", Layers: config.LayerRange{To: modelLayers}})
		f.change(fencing, "v2")
		time.Sleep(time.Minute)
		for _, got := range f.engines[fencing].allReceived() {
			must(t, !got.reloaded, "reloaded to %s", got.order.Version)
		}
	})
}

// Without the table no VM can hold the lease for longer than its duration. No order is sent during
// the outage, and the change is in force after it.
func TestNoOrdersDuringALongStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, fencingTarget(fencing))
		defer f.stop()
		f.awaitHolder(t)
		f.store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
		time.Sleep(lease.DefaultTTL)
		f.change(fencing, "v2") // received from peers
		time.Sleep(time.Hour)
		must(t, f.engines[fencing].read().Version == "v1", "ordered without a lease")
		f.store.Faults.Set(platformsim.Order{})
		f.awaitVersion(t, fencing, "v2")
		must(t, f.violations.Total() == 0, "%d violations", f.violations.Total())
	})
}

// The holder dies after it has asked for a drain and before the load. The next holder finds the
// drain and ends it, here because the entry was changed back meanwhile. Otherwise the target would
// get no more requests.
func TestDrainOfADeadHolderIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		dead := f.awaitHolder(t)
		f.engines[ignoring].addWork(1)
		f.change(ignoring, "v2")
		await(t, 10*time.Second, "the drain", func() bool { return len(f.drains.list()) == 1 })
		dead.stop()
		f.change(ignoring, "v1")
		await(t, time.Minute, "the drain's end", func() bool { return len(f.drains.list()) == 0 })
		must(t, f.holder() != dead, "the dead VM still holds the lease")
	})
}

// Six engines are changed at once. Their loads start LoadInterval apart and no more than
// MaxConcurrentLoads run at once, as the weight store is rate-limited.
func TestLoadsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"f-0", "f-1", "f-2", "i-0", "i-1", "i-2"}
		var targets []*config.Target
		for _, name := range names {
			targets = append(targets, ignoringTarget(name))
		}
		f := newFleet(1, hooks{}, targets...)
		defer f.stop()
		f.awaitHolder(t)
		const loadTime = 5 * time.Second
		for _, name := range names {
			f.engines[name].loadTime = loadTime
			f.change(name, "v2")
		}
		var loads []time.Time
		for _, name := range names {
			f.awaitVersion(t, name, "v2")
		}
		for _, name := range names {
			for _, got := range f.engines[name].allReceived() {
				loads = append(loads, got.at)
			}
		}
		must(t, len(loads) == len(names), "%d loads", len(loads))
		slices.SortFunc(loads, time.Time.Compare)
		for i := range loads {
			if i >= 1 {
				apart := loads[i].Sub(loads[i-1])
				must(t, apart >= testSettings().LoadInterval-time.Millisecond, "loads %s apart", apart)
			}
			if i >= testSettings().MaxConcurrentLoads {
				must(t, loads[i].Sub(loads[i-testSettings().MaxConcurrentLoads]) >= loadTime, "more than %d loads at once", testSettings().MaxConcurrentLoads)
			}
		}
	})
}

// An engine that holds nothing gets its order without a drain. On a planned stop the lease is
// released, as no order is being sent any more once Run has returned.
func TestEmptyEngineIsLoadedWithoutDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{}, fencingTarget(fencing))
		defer f.stop()
		f.engines[fencing].setState(engine.State{})
		f.awaitVersion(t, fencing, "v1")
		must(t, len(f.drains.list()) == 0, "drained without need")
		dump := f.members[0].controller.Dump().(Dump)
		must(t, dump.Held && len(dump.Targets) == 1, "dump %+v", dump)
		f.members[0].leases.Release(context.Background())
		must(t, f.holder() == nil, "held after the release")
	})
}
