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
				go watchIsolation(ctx, reach{
					storeReachable: func() bool { return row.store || back.Load() },
					hasPeers:       func() bool { return row.hasPeers },
					peerReachable:  func() bool { return row.peers },
				}, gate)
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
			})
		})
	}
}
