package entry

import (
	"sync"

	"go.uber.org/zap"

	"geraniumcroft/internal/lease"
	"geraniumcroft/internal/loads"
	"geraniumcroft/internal/placer"
)

// tenure tracks whether this VM holds the placement duty, which includes collecting the replicas'
// loads, and under which number: the fencing number of its last lease.
//
// During a store outage no lease can be renewed, and no other VM can acquire one. The last
// holder then continues without a lease: otherwise the layers of replicas that die would be
// missing, and VMs would send requests to these replicas, until the store recovers. If the store
// refuses only this VM, another one acquires the lease, and the loads that it sends, which carry a
// higher number, end the tenure here within some two seconds. Two holders at the same time do no
// harm: each order states the layers that a replica has to hold and the earlier orders that it
// builds on.
type tenure struct {
	leases    *lease.Manager
	loadCache *loads.Cache
	logger    *zap.Logger

	mu          sync.Mutex // guards the fields below
	lastFencing uint64     // fencing number of this VM's last lease, 0 before the first
	acting      bool
}

// current returns the number of this VM's last tenure, and whether it holds the duty now.
func (t *tenure) current() (uint64, bool) {
	held, ok := t.leases.Held(placer.Duty)
	ok = ok && held.Check() == nil
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		t.lastFencing = held.Fencing
	}
	acting := !ok && t.lastFencing > 0 && t.leases.TableUnavailable() && t.loadCache.Tenure() <= t.lastFencing
	if acting != t.acting {
		t.acting = acting
		t.logger.Info("placement without a lease", zap.Bool("acting", acting), zap.Uint64("tenure", t.lastFencing),
			zap.Bool("held", ok), zap.Uint64("boardTenure", t.loadCache.Tenure()))
	}
	return t.lastFencing, ok || acting
}
