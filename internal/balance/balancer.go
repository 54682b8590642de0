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

// Balancer holds the targets' state on this VM. It is safe for concurrent use.
type Balancer struct {
	settings   Settings
	invariants *invariant.Registry
	view       atomic.Pointer[view]
	onFree     atomic.Pointer[func(pool string)]
	// peerCount is the number of VMs that share the targets, this one included, and
	// index says which of them this one is.
	peerCount atomic.Int32
	index     atomic.Int32

	mu       sync.Mutex // guards the fields below and serialises changes of view
	snapshot *config.Snapshot
	states   map[string]*target
	groups   map[groupKey]*group
	prefixes map[string]*prefixIndex
	leaving  map[string]bool
	peerLoad map[string]map[string]int
}

// New returns a balancer without targets.
func New(s Settings, inv *invariant.Registry) *Balancer {
	b := &Balancer{
		settings:   s.withDefaults(),
		invariants: inv,
		snapshot:   config.NewSnapshot(),
		states:     map[string]*target{},
		groups:     map[groupKey]*group{},
		prefixes:   map[string]*prefixIndex{},
		peerLoad:   map[string]map[string]int{},
	}
	b.view.Store(&view{})
	return b
}

// peers is the number of VMs that share the targets, 1 while it was not told.
func (b *Balancer) peers() int { return max(int(b.peerCount.Load()), 1) }

// knowsPeers reports whether SetSubset was called.
func (b *Balancer) knowsPeers() bool { return b.peerCount.Load() > 0 }

func (b *Balancer) vmIndex() int { return int(b.index.Load()) }

// OnFree sets the function that is called, outside of any lock, when a slot may
// have come free.
func (b *Balancer) OnFree(f func(pool string)) { b.onFree.Store(&f) }

func (b *Balancer) freed(t *target) { b.freedPool(PoolOf(t.config.Load())) }

func (b *Balancer) freedPool(pool string) {
	if f := b.onFree.Load(); f != nil {
		(*f)(pool)
	}
}

// Update takes over a snapshot's targets. Targets that drain or are gone take no
// new work when it returns.
func (b *Balancer) Update(s *config.Snapshot) {
	b.rebuildIf(func() bool {
		b.snapshot = s
		return true
	})
}

// rebuildIf applies change under the lock and makes a new view if it says so. The
// VM list and the membership are told again and again and seldom change.
func (b *Balancer) rebuildIf(change func() bool) {
	b.mu.Lock()
	changed := change()
	if changed {
		b.rebuild()
	}
	b.mu.Unlock()
	if changed {
		b.freedAll()
	}
}

// SetSubset says how many VMs share the targets and which of them this one is.
func (b *Balancer) SetSubset(peers, index int) {
	peers = max(peers, 1)
	b.rebuildIf(func() bool {
		changed := int(b.peerCount.Load()) != peers || b.vmIndex() != index
		b.peerCount.Store(int32(peers))
		b.index.Store(int32(index))
		return changed
	})
}

// SetLeaving says which targets the VM list shows as leaving.
func (b *Balancer) SetLeaving(targets map[string]bool) {
	b.rebuildIf(func() bool {
		changed := !maps.Equal(b.leaving, targets)
		b.leaving = maps.Clone(targets)
		return changed
	})
}

func (b *Balancer) freedAll() {
	for name := range b.view.Load().pools {
		b.freedPool(name)
	}
}

// Report takes a target's load report.
func (b *Balancer) Report(name string, r engine.LoadReport) {
	if t := b.view.Load().targets[name]; t != nil {
		t.report(r)
	}
}

// Usable reports whether the target takes new work from this VM, and why not.
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
