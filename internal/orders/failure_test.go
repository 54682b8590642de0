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
	// pastLease is a pause that outlives the lease and the wait for old orders.
	pastLease = 40 * time.Second
)

// stallAndSucceed pauses the holder between its check and its order for v2, and lets
// the configuration go on to v3, which the next holder orders.
func stallAndSucceed(t *testing.T, f *fleet, target string, stall time.Duration) {
	t.Helper()
	old := f.awaitHolder(t)
	old.link.failOnce(orderFault{stall: stall})
	f.change(target, "v2")
	await(t, 10*time.Second, "the holder pauses in its order", func() bool { return f.holder() == nil || f.holder() != old })
	f.change(target, "v3")
	await(t, 20*time.Second, "another holder", func() bool { return f.holder() != nil && f.holder() != old })
}

// versions returns the versions that came into force, in order.
func versions(e *fakeEngine) []string {
	var list []string
	for _, got := range e.allReceived() {
		if got.accepted && (len(list) == 0 || list[len(list)-1] != got.order.Version) {
			list = append(list, got.order.Version)
		}
	}
	return list
}

// The operator sees v3 come into force and stay. The old holder wakes between its
// check and its order for v2 long after its lease; the engine has the new holder's
// number and refuses.
func TestPausedBetweenCheckAndActOnFencingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, fencingTarget(fencing))
		defer f.stop()
		stallAndSucceed(t, f, fencing, pastLease)
		f.awaitVersion(t, fencing, "v3")
		time.Sleep(pastLease)
		_, _, refused, _ := f.engines[fencing].counts()
		must(t, refused == 1, "%d orders refused", refused)
		must(t, f.engines[fencing].read().Version == "v3", "in force: %s", f.engines[fencing].read().Version)
	})
}

// The operator sees v2 and then v3. The engine obeys anyone; the old holder's order
// arrives after its lease ended, but before the new holder's first one, which waits
// for as long as an order can be under way.
func TestPausedBetweenCheckAndActOnIgnoringEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		stallAndSucceed(t, f, ignoring, 11*time.Second)
		f.awaitVersion(t, ignoring, "v3")
		time.Sleep(pastLease)
		got := versions(f.engines[ignoring])
		must(t, len(got) == 2 && got[0] == "v2" && got[1] == "v3", "in force one after the other: %v", got)
		_, _, _, cutOff := f.engines[ignoring].counts()
		must(t, cutOff == 0, "%d requests cut off", cutOff)
	})
}

// Callers keep what is in hand. The old holder is paused between its check and its
// order for v2, and the operator goes back to v1, which the engine still holds. The
// new holder sees that it agrees and yet lets no work in until the old order must have
// arrived: it reloads the engine.
func TestDrainIsKeptUntilOldOrdersHaveArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		old := f.awaitHolder(t)
		old.link.failOnce(orderFault{stall: 11 * time.Second})
		f.change(ignoring, "v2")
		await(t, 20*time.Second, "another holder", func() bool { return f.holder() != nil && f.holder() != old })
		f.change(ignoring, "v1")
		e := f.engines[ignoring]
		f.done.Go(func() { work(rand.New(rand.NewPCG(1, 1)), f.drains, e, time.Now().Add(time.Minute)) })
		time.Sleep(time.Minute)
		got := versions(e)
		must(t, len(got) == 2 && got[0] == "v2" && got[1] == "v1", "in force one after the other: %v", got)
		_, _, _, cutOff := e.counts()
		must(t, cutOff == 0, "%d requests cut off", cutOff)
		must(t, len(f.drains.list()) == 0, "work is kept away for good")
	})
}

// The operator sees a change in force a few seconds after a change of holder. The order
// that told the engine the new number was answered and had nothing to change, so the
// next one need not wait until it can no longer be under way.
func TestNewNumberDoesNotDelayTheNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{}, fencingTarget(fencing))
		defer f.stop()
		e := f.engines[fencing]
		await(t, 20*time.Second, "the engine has the number", func() bool { return e.read().Fencing > 0 })
		f.change(fencing, "v2")
		await(t, testSettings().MaxOrderDelay/2, "v2", func() bool { return e.read().Version == "v2" })
	})
}

// The operator sees v3, for some seconds v2, and v3 again. The old holder was paused
// between check and order for longer than any wait covers, and the engine obeys
// anyone: reading back finds the old order and repairs it.
func TestOrderLaterThanAnyWaitIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		stallAndSucceed(t, f, ignoring, pastLease)
		f.awaitVersion(t, ignoring, "v3")
		f.awaitVersion(t, ignoring, "v2")
		f.awaitVersion(t, ignoring, "v3")
	})
}

// The operator sees one load. The order takes effect late and its answer is lost; it
// is waited for as long as it can be under way, and nothing is sent again.
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

// The operator sees one load, late. The order was lost with its answer. It is sent
// again only once it can no longer be under way, with its ID: a copy that arrives
// after all changes nothing.
func TestLostOrderIsSentAgainWithItsID(t *testing.T) {
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
		must(t, got[0].order.ID == got[1].order.ID, "sent again with another ID")
		must(t, got[0].reloaded != got[1].reloaded, "reloaded twice, or never")
	})
}

// The same with a blind repeat planted in: the engine loads twice.
func TestBlindRepeatIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{repeatBlind: true}, ignoringTarget(ignoring))
		defer f.stop()
		f.awaitHolder(t).link.failOnce(orderFault{loseAnswer: true, delay: 3 * time.Second})
		f.change(ignoring, "v2")
		f.awaitVersion(t, ignoring, "v2")
		time.Sleep(time.Minute)
		orders, _, _, _ := f.engines[ignoring].counts()
		must(t, orders > 1, "the fault shows nowhere")
	})
}

// Callers keep what is in hand. The engine works on a request when its entry changes
// and gets one more, sent just before the drain was confirmed; the order goes out
// when both have ended.
func TestNoReloadWithWorkInHand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{}, ignoringTarget(ignoring))
		defer f.stop()
		f.awaitHolder(t)
		e := f.engines[ignoring]
		f.change(ignoring, "v2")
		await(t, 10*time.Second, "the drain", func() bool { return f.drains.confirmed(ignoring) })
		time.Sleep(400 * time.Millisecond) // less than SettleTime
		e.addWork(1)
		time.Sleep(5 * time.Minute)
		orders, _, _, _ := e.counts()
		must(t, orders == 0, "ordered with work in hand")
		e.addWork(-1)
		f.awaitVersion(t, ignoring, "v2")
		await(t, 30*time.Second, "new work again", func() bool { return len(f.drains.list()) == 0 })
		_, _, _, cutOff := e.counts()
		must(t, cutOff == 0, "%d requests cut off", cutOff)
	})
}

// Callers keep what is in hand, also when the engine's answer is slow: a request that
// was on its way when the drain was confirmed arrives after the engine wrote that
// nothing is in hand and before the answer is read.
func TestNoReloadOnAnOldReading(t *testing.T) {
	settings := testSettings()
	settings.RetryInterval = 250 * time.Millisecond
	settings.SettleTime = 2450 * time.Millisecond // the reading before the last is older by the slow answer
	for late := time.Second; late < settings.SettleTime; late += 25 * time.Millisecond {
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
			_, _, _, cutOff := e.counts()
			must(t, cutOff == 0, "%d requests cut off, sent %s after the drain", cutOff, late)
		})
	}
}

// Callers keep what is in hand. The new holder's configuration is old: there the
// target is drained and to hold v2, while an earlier holder has loaded v3 meanwhile and
// let work in. Before its order it reads what the table holds, and sends none.
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

// The operator sees no order while the store is out, and the change in force after
// it. Without the table nobody can hold the lease for longer than its duration.
func TestNoOrdersWhileTheStoreIsOutForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, hooks{}, fencingTarget(fencing))
		defer f.stop()
		f.awaitHolder(t)
		f.store.Faults.Set(platformsim.Order{Outage: platformsim.OutageHang})
		time.Sleep(lease.DefaultTTL)
		f.change(fencing, "v2") // as peers spread it
		time.Sleep(time.Hour)
		must(t, f.engines[fencing].read().Version == "v1", "ordered without a lease")
		f.store.Faults.Set(platformsim.Order{})
		f.awaitVersion(t, fencing, "v2")
		must(t, f.violations.Total() == 0, "%d violations", f.violations.Total())
	})
}

// Callers get the target back. Its holder dies after it asked for a drain and before
// the load; the next holder finds the drain and ends it, here because the entry was
// changed back meanwhile.
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
		must(t, f.holder() != dead, "the dead holder holds on")
	})
}

// The weight store sees loads begin at its pace and few at once, though the operator
// changed six engines at once.
func TestLoadsAreSpaced(t *testing.T) {
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

// An engine that holds nothing gets its order without a drain, on a planned stop the
// controller has ended its orders when Run returns.
func TestEmptyEngineIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, hooks{}, fencingTarget(fencing))
		defer f.stop()
		f.engines[fencing].setState(engine.State{})
		f.awaitVersion(t, fencing, "v1")
		must(t, len(f.drains.list()) == 0, "drained for nothing")
		dump := f.members[0].controller.Dump().(Dump)
		must(t, dump.Held && len(dump.Targets) == 1, "dump %+v", dump)
		f.members[0].leases.Release(context.Background())
		must(t, f.holder() == nil, "held after the release")
	})
}
