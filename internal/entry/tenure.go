package entry

import (
	"sync"

	"go.uber.org/zap"

	"geraniumcroft/internal/lease"
	"geraniumcroft/internal/loads"
	"geraniumcroft/internal/placer"
)

// tenure says whether this VM has the duty of placement, which includes keeping the
// board of loads.
//
// While the store is away no lease can be renewed, and nobody else can take one. The
// last holder goes on then: cards that die would else leave holes, and VMs would send
// requests to them, until the store is back. Should the store have turned away this VM
// alone, another one takes the lease, and its boards, which bear a later number, end the
// tenure here within some two seconds. Two holders do no harm meanwhile: each order says
// what a replica is to hold, and on which earlier orders it builds.
type tenure struct {
	leases *lease.Manager
	board  *loads.Cache
	logger *zap.Logger

	mu     sync.Mutex // guards the fields below
	last   uint64     // the number of this VM's last lease, 0 before the first
	acting bool
}

// now returns the number of this VM's tenure, if it has the duty.
func (t *tenure) now() (uint64, bool) {
	held, ok := t.leases.Held(placer.Duty)
	ok = ok && held.Check() == nil
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		t.last = held.Fencing
	}
	acting := !ok && t.last > 0 && t.leases.TableUnavailable() && t.board.Tenure() <= t.last
	if acting != t.acting {
		t.acting = acting
		t.logger.Info("placement without a lease", zap.Bool("acting", acting), zap.Uint64("tenure", t.last),
			zap.Bool("held", ok), zap.Uint64("boardTenure", t.board.Tenure()))
	}
	return t.last, ok || acting
}
