package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/router"
)

// A VM is cut off from the store and from every peer. Its callers are served for
// the bound, while a change still waits for this VM's confirmation, and are then
// refused as not run; the balancer sees it unready. Once one of them is back, it
// serves again.
func TestCutOffVMRefusesAfterTheBound(t *testing.T) {
	rows := []struct {
		shows          string
		store, peers   bool
		hasPeers       bool
		refusedByBound bool
	}{
		{"the store alone is enough", true, false, true, false},
		{"peers alone are enough, however long the store is out", false, true, true, false},
		{"neither: refuse", false, false, true, true},
		{"a fleet of one has nobody who could change anything", false, false, false, false},
	}
	for _, row := range rows {
		t.Run(row.shows, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var back atomic.Bool
				gate := &router.Gate{}
				gate.SetLoaded()
				caughtUp := 0
				watch := &freshness{gate: gate, resumed: func() {}, catchUp: func() bool { caughtUp++; return true }, reach: reach{
					storeReachable: func() bool { return row.store || back.Load() },
					hasPeers:       func() bool { return row.hasPeers },
					peerReachable:  func() bool { return row.peers },
				}}
				go watch.run(ctx)
				time.Sleep(isolationCheck)
				synctest.Wait()
				if !gate.Ready() {
					t.Error("refused before the bound")
				}
				time.Sleep(time.Hour)
				synctest.Wait()
				if refused := gate.Check() != nil; refused != row.refusedByBound {
					t.Errorf("refused %t after the bound", refused)
				}
				back.Store(true)
				time.Sleep(2 * isolationCheck)
				synctest.Wait()
				if gate.Check() != nil {
					t.Error("refused although the store is back")
				}
				if row.refusedByBound != (caughtUp > 0) {
					t.Errorf("caught up %d times", caughtUp)
				}
			})
		})
	}
}

// A VM is frozen for a minute and wakes. Its peers held it dead meanwhile and a
// target was drained without it. The first caller after the freeze is refused as
// not run, and so is everyone until the VM has caught up; what waited in its queue
// goes on then. Without this the first second after the freeze is served by what
// was in force before it.
func TestVMThatWakesCatchesUpFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &router.Gate{}
		gate.SetLoaded()
		reachable, resumed := false, 0
		watch := &freshness{gate: gate, resumed: func() { resumed++ }, catchUp: func() bool { return reachable }, reach: reach{
			storeReachable: func() bool { return true }, hasPeers: func() bool { return true }, peerReachable: func() bool { return true },
		}}
		watch.check(time.Now())
		if gate.Check() != nil {
			t.Fatal("refused while it runs")
		}
		time.Sleep(time.Minute) // nothing runs meanwhile
		if failure := gate.Check(); failure == nil || gate.Ready() {
			t.Error("served right after the freeze")
		}
		watch.check(time.Now())
		if gate.Check() == nil || resumed != 0 {
			t.Error("served before it caught up")
		}
		reachable = true
		watch.check(time.Now())
		if gate.Check() != nil || resumed != 1 {
			t.Errorf("refused after it caught up, resumed %d times", resumed)
		}
	})
}
