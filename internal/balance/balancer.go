package balance

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
)

// Balancer holds the state of the targets on this VM and chooses among them. It is safe for
// concurrent use.
type Balancer struct {
	settings   Settings
	invariants *invariant.Registry
	view       atomic.Pointer[view]
	onFree     atomic.Pointer[func(pool string)]
	// peerCount is the number of VMs that share the targets, including this one. 0 means
	// unknown. index is this VM's index among them.
	peerCount atomic.Int32
	index     atomic.Int32

	mu           sync.Mutex // guards the fields below and serialises changes of view
	snapshot     *config.Snapshot
	targetStates map[string]*target
	groups       map[groupKey]*group
	prefixes     map[string]*prefixIndex
	leaving      map[string]bool
	peerLoad     map[string]map[string]int
}

// New returns a balancer without targets.
func New(s Settings, inv *invariant.Registry) *Balancer {
	b := &Balancer{
		settings:     s.withDefaults(),
		invariants:   inv,
		snapshot:     config.NewSnapshot(),
		targetStates: map[string]*target{},
		groups:       map[groupKey]*group{},
		prefixes:     map[string]*prefixIndex{},
		peerLoad:     map[string]map[string]int{},
	}
	b.view.Store(&view{})
	return b
}

// peers returns the number of VMs that share the targets, 1 if it is unknown.
func (b *Balancer) peers() int { return max(int(b.peerCount.Load()), 1) }

// peersKnown reports whether SetSubset was called.
func (b *Balancer) peersKnown() bool { return b.peerCount.Load() > 0 }

func (b *Balancer) vmIndex() int { return int(b.index.Load()) }

// OnFree sets the function that is called, without any lock held, when a slot of a pool may
// have become free.
func (b *Balancer) OnFree(f func(pool string)) { b.onFree.Store(&f) }

// notifyFreed calls the OnFree function for the target's pool.
func (b *Balancer) notifyFreed(t *target) { b.notifyFreedPool(PoolName(t.config.Load())) }

func (b *Balancer) notifyFreedPool(pool string) {
	if f := b.onFree.Load(); f != nil {
		(*f)(pool)
	}
}

// Update applies the targets of a snapshot. When it returns, targets that are draining or
// removed get no new requests.
func (b *Balancer) Update(s *config.Snapshot) {
	b.rebuildIf(func() bool {
		b.snapshot = s
		return true
	})
}

// rebuildIf calls change under the lock and rebuilds the view if it returns true. The VM
// list and the membership are passed often and seldom change.
func (b *Balancer) rebuildIf(change func() bool) {
	b.mu.Lock()
	changed := change()
	if changed {
		b.rebuild()
	}
	b.mu.Unlock()
	if changed {
		b.notifyAllFreed()
	}
}

// SetSubset sets how many VMs share the targets, and the index of this VM among them.
func (b *Balancer) SetSubset(peers, index int) {
	peers = max(peers, 1)
	b.rebuildIf(func() bool {
		changed := int(b.peerCount.Load()) != peers || b.vmIndex() != index
		b.peerCount.Store(int32(peers))
		b.index.Store(int32(index))
		return changed
	})
}

// SetLeaving sets the targets that the VM list shows as leaving.
func (b *Balancer) SetLeaving(targets map[string]bool) {
	b.rebuildIf(func() bool {
		changed := !maps.Equal(b.leaving, targets)
		b.leaving = maps.Clone(targets)
		return changed
	})
}

// notifyAllFreed calls the OnFree function for each pool.
func (b *Balancer) notifyAllFreed() {
	for name := range b.view.Load().pools {
		b.notifyFreedPool(name)
	}
}

// Report applies a target's load report.
func (b *Balancer) Report(name string, r engine.LoadReport) {
	if t := b.view.Load().targets[name]; t != nil {
		t.report(r)
	}
}

// Usable reports whether the target takes new requests from this VM. If not, it also
// returns the reason.
func (b *Balancer) Usable(name string) (bool, string) {
	t := b.view.Load().targets[name]
	if t == nil {
		return false, ReasonNotConfigured
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reason := t.closed(time.Now())
	return reason == "", reason
}
