package router

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/plan"
)

// capacity is what the plan cache needs from the balancer.
type capacity interface {
	// Usable reports whether the target may get new requests, and if not, why.
	Usable(target string) (bool, string)
	// HasFreeSlot reports whether a request of the urgency would get a slot now.
	HasFreeSlot(target string, u config.Urgency) bool
}

// PlanCache has the weighted plans of each model in use. Update computes them when the
// configuration changes. Requests get the current plans with one atomic load. It is safe
// for concurrent use.
type PlanCache struct {
	seed     uint64
	capacity capacity
	logger   *zap.Logger
	plans    atomic.Pointer[planSnapshot]

	mu sync.Mutex // serialises Update
}

// planSnapshot has the plans of one configuration version.
type planSnapshot struct {
	snapshot *config.Snapshot
	byRef    map[config.ModelRef]*plannedModel
}

// plannedModel has the plans of one model, version and adapter.
type plannedModel struct {
	layers  int
	holders []*config.Target
	chooser *plan.Chooser
	set     *plan.Set
}

// NewPlanCache returns a cache without plans. The VM's name seeds the choice of plans.
func NewPlanCache(vm string, c capacity, logger *zap.Logger) *PlanCache {
	cache := &PlanCache{seed: xxhash.Sum64String(vm), capacity: c, logger: logger}
	cache.plans.Store(&planSnapshot{byRef: map[config.ModelRef]*plannedModel{}})
	return cache
}

// PoolOfModel returns the name of the pool in which requests for the model are queued.
func PoolOfModel(ref config.ModelRef) string { return ref.Model + "@" + ref.Version }

// Update computes the plans of the snapshot. If the targets and the layers of a model did
// not change, its plans and its chooser are kept.
func (c *PlanCache) Update(snapshot *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.plans.Load()
	next := &planSnapshot{snapshot: snapshot, byRef: map[config.ModelRef]*plannedModel{}}
	for _, ref := range refsInUse(snapshot) {
		next.byRef[ref] = c.planModel(old, snapshot, ref)
	}
	c.plans.Store(next)
}

// refsInUse returns the models of all profiles, each once and without its weight.
func refsInUse(snapshot *config.Snapshot) []config.ModelRef {
	seen := map[config.ModelRef]bool{}
	var refs []config.ModelRef
	for _, profile := range snapshot.Profiles {
		for _, ref := range profile.Models {
			ref.Weight = 0
			if !seen[ref] {
				seen[ref] = true
				refs = append(refs, ref)
			}
		}
	}
	return refs
}

// planModel returns the plans of a model, the old ones if nothing changed. Without plans,
// the model cannot be served.
func (c *PlanCache) planModel(old *planSnapshot, snapshot *config.Snapshot, ref config.ModelRef) *plannedModel {
	model := snapshot.Models[ref.Model]
	if model == nil {
		return &plannedModel{}
	}
	holders := holdersOf(snapshot, ref)
	if previous := old.byRef[ref]; previous != nil && previous.layers == model.Layers && slices.Equal(previous.holders, holders) {
		return previous
	}
	next := &plannedModel{layers: model.Layers, holders: holders}
	set, err := plan.Compute(plan.Input{Model: model, Version: ref.Version, Adapter: ref.Adapter, Targets: holders})
	if err != nil {
		c.logger.Warn("no plan covers the model", zap.String("model", ref.Model), zap.String("version", ref.Version), zap.Error(err))
		return next
	}
	next.set = set
	next.chooser = plan.NewChooser(set, c.seed)
	next.chooser.SetEligible(c.eligible)
	return next
}

// holdersOf returns the active engines that hold the model, version and adapter. They are
// sorted by name so that all VMs compute the same plans.
func holdersOf(snapshot *config.Snapshot, ref config.ModelRef) []*config.Target {
	var holders []*config.Target
	for _, target := range snapshot.Targets {
		holds := target.Kind == config.KindEngine && target.Model == ref.Model && target.Version == ref.Version
		adapts := ref.Adapter == "" || slices.Contains(target.Adapters, ref.Adapter)
		if holds && adapts && target.TakesWork() {
			holders = append(holders, target)
		}
	}
	slices.SortFunc(holders, func(a, b *config.Target) int { return cmp.Compare(a.Name, b.Name) })
	return holders
}

func (c *PlanCache) get(ref config.ModelRef) *plannedModel {
	ref.Weight = 0
	return c.plans.Load().byRef[ref]
}

// Choose returns a plan whose targets all have capacity now. The targets in prefer are those
// that hold part of the prompt's KV cache, according to their reports.
func (c *PlanCache) Choose(ref config.ModelRef, u config.Urgency, exclude, prefer map[string]bool) (plan.Plan, bool) {
	planned := c.get(ref)
	if planned == nil || planned.chooser == nil {
		return plan.Plan{}, false
	}
	return planned.chooser.Choose(plan.Query{Urgency: u, Usable: c.hasFreeSlot(u), Exclude: exclude, Prefer: prefer})
}

// Repair returns the plan with its failed targets replaced and the others kept.
func (c *PlanCache) Repair(ref config.ModelRef, current plan.Plan, u config.Urgency, failed map[string]bool) (plan.Plan, bool) {
	planned := c.get(ref)
	if planned == nil || planned.chooser == nil {
		return plan.Plan{}, false
	}
	return planned.chooser.Repair(current, failed, c.hasFreeSlot(u))
}

func (c *PlanCache) eligible(target string) bool {
	usable, _ := c.capacity.Usable(target)
	return usable
}

// Layers returns the number of layers of the model.
func (c *PlanCache) Layers(ref config.ModelRef) int {
	if planned := c.get(ref); planned != nil {
		return planned.layers
	}
	return 0
}

func (c *PlanCache) hasFreeSlot(u config.Urgency) func(string) bool {
	return func(target string) bool { return c.capacity.HasFreeSlot(target, u) }
}

// Covered reports whether the targets that may get new requests, busy or not, hold all
// layers of the model. If not, waiting in the queue cannot help.
func (c *PlanCache) Covered(ref config.ModelRef, exclude []string) bool {
	planned := c.get(ref)
	if planned == nil || planned.chooser == nil {
		return false
	}
	return covers(planned.layers, planned.holders, func(name string) bool {
		return c.eligible(name) && !slices.Contains(exclude, name)
	})
}

// covers reports whether the layer ranges of the usable targets together cover all layers.
func covers(layers int, targets []*config.Target, usable func(string) bool) bool {
	reached := 0
	for reached < layers {
		next := reached
		for _, target := range targets {
			if target.Layers.From <= reached && target.Layers.To > next && usable(target.Name) {
				next = target.Layers.To
			}
		}
		if next == reached {
			return false
		}
		reached = next
	}
	return true
}

// PlanDump describes one model's plans, for the dump.
type PlanDump struct {
	Model      string  `json:"model"`
	Version    string  `json:"version"`
	Adapter    string  `json:"adapter,omitempty"`
	Plans      int     `json:"plans"`
	Throughput float64 `json:"tokensPerSecond"`
	Bound      float64 `json:"boundTokensPerSecond"`
}

// Dump returns a description of the plans, sorted by model, version and adapter.
func (c *PlanCache) Dump() []PlanDump {
	var dump []PlanDump
	for ref, planned := range c.plans.Load().byRef {
		entry := PlanDump{Model: ref.Model, Version: ref.Version, Adapter: ref.Adapter}
		if planned.set != nil {
			entry.Plans = len(planned.set.Plans)
			entry.Throughput = planned.set.Throughput()
			entry.Bound = planned.set.Bound
		}
		dump = append(dump, entry)
	}
	slices.SortFunc(dump, func(a, b PlanDump) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
	})
	return dump
}
