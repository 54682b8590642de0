package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/router"
)

// A VM that is cut off from the store and from every peer must serve its callers until
// isolationTimeout, because changes still wait for its confirmation. Then it must refuse them as
// not executed and be unready for the balancer. Once one of them is reachable again it must serve
// again; the test brings back the store.
func TestCutOffVMRefusesAfterTheBound(t *testing.T) {
	cases := []struct {
		name         string
		store, peers bool
		hasPeers     bool
		wantRefused  bool
	}{
		{"the store alone is enough", true, false, true, false},
		{"peers alone are enough, however long the store is unavailable", false, true, true, false},
		{"cut off from both", false, false, true, true},
		{"a fleet of one: no other VM can accept a change", false, false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var storeBack atomic.Bool
				gate := &router.Gate{}
				gate.SetLoaded()
				catchUps := 0
				monitor := &isolationMonitor{gate: gate, onResume: func() {}, catchUp: func() bool { catchUps++; return true }, connectivity: connectivity{
					storeReachable: func() bool { return c.store || storeBack.Load() },
					hasPeers:       func() bool { return c.hasPeers },
					peerReachable:  func() bool { return c.peers },
				}}
				go monitor.run(ctx)
				time.Sleep(isolationCheckInterval)
				synctest.Wait()
				if !gate.Ready() {
					t.Error("refused before the timeout")
				}
				time.Sleep(time.Hour)
				synctest.Wait()
				if refused := gate.Check() != nil; refused != c.wantRefused {
					t.Errorf("refused is %t after the timeout", refused)
				}
				storeBack.Store(true)
				time.Sleep(2 * isolationCheckInterval)
				synctest.Wait()
				if gate.Check() != nil {
					t.Error("refused although the store is back")
				}
				if c.wantRefused != (catchUps > 0) {
					t.Errorf("catchUp was called %d times", catchUps)
				}
			})
		})
	}
}

// A VM is paused for a minute. Meanwhile its peers held it dead and a target was drained without
// it. After the pause it must refuse every request as not executed, the first one included, until
// it has caught up; then requests in its queue continue. Otherwise it would serve the configuration
// from before the pause for about a second.
func TestVMThatWakesCatchesUpFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &router.Gate{}
		gate.SetLoaded()
		reachable, resumed := false, 0
		monitor := &isolationMonitor{gate: gate, onResume: func() { resumed++ }, catchUp: func() bool { return reachable }, connectivity: connectivity{
			storeReachable: func() bool { return true }, hasPeers: func() bool { return true }, peerReachable: func() bool { return true },
		}}
		monitor.check(time.Now())
		if gate.Check() != nil {
			t.Fatal("refused before the pause")
		}
		time.Sleep(time.Minute) // nothing runs meanwhile
		if failure := gate.Check(); failure == nil || gate.Ready() {
			t.Error("served right after the pause")
		}
		monitor.check(time.Now())
		if gate.Check() == nil || resumed != 0 {
			t.Error("served before it caught up")
		}
		reachable = true
		monitor.check(time.Now())
		if gate.Check() != nil || resumed != 1 {
			t.Errorf("refused after it caught up, resumed %d times", resumed)
		}
	})
}
