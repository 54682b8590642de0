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

// capacity is what the plan cache asks of the balancer.
type capacity interface {
	// Usable reports whether the target may take new work, and why not.
	Usable(target string) (bool, string)
	// HasRoom reports whether a request of the urgency would get a slot now.
	HasRoom(target string, u config.Urgency) bool
}

// PlanCache holds the weighted plans of each model in use. Plans are computed
// apart from requests, on a change of the configuration; requests read the
// current ones with one atomic read.
type PlanCache struct {
	seed     uint64
	capacity capacity
	logger   *zap.Logger
	plans    atomic.Pointer[plansAt]

	mu sync.Mutex // serialises Update
}

// plansAt is the plans of one configuration version.
type plansAt struct {
	snapshot *config.Snapshot
	byRef    map[config.ModelRef]*plannedModel
}

// plannedModel is what serves one model, version and adapter.
type plannedModel struct {
	layers  int
	holders []*config.Target
	chooser *plan.Chooser
	set     *plan.Set
}

// NewPlanCache returns a cache without plans. The VM's name seeds the choices.
func NewPlanCache(vm string, c capacity, logger *zap.Logger) *PlanCache {
	cache := &PlanCache{seed: xxhash.Sum64String(vm), capacity: c, logger: logger}
	cache.plans.Store(&plansAt{byRef: map[config.ModelRef]*plannedModel{}})
	return cache
}

// PoolOfModel names the pool in which a model's engines are queued for.
func PoolOfModel(ref config.ModelRef) string { return ref.Model + "@" + ref.Version }

// Update computes the plans of the snapshot. Sets whose targets and model did
// not change are kept with their choosers.
func (c *PlanCache) Update(snapshot *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.plans.Load()
	next := &plansAt{snapshot: snapshot, byRef: map[config.ModelRef]*plannedModel{}}
	for _, ref := range refsInUse(snapshot) {
		next.byRef[ref] = c.planned(old, snapshot, ref)
	}
	c.plans.Store(next)
}

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

func (c *PlanCache) planned(old *plansAt, snapshot *config.Snapshot, ref config.ModelRef) *plannedModel {
	model := snapshot.Models[ref.Model]
	if model == nil {
		return &plannedModel{}
	}
	holders := holdersOf(snapshot, ref)
	if before := old.byRef[ref]; before != nil && before.layers == model.Layers && slices.Equal(before.holders, holders) {
		return before
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

// holdersOf returns the active engines that hold the model, version and adapter,
// by name so that all VMs compute the same plans.
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

func (c *PlanCache) of(ref config.ModelRef) *plannedModel {
	ref.Weight = 0
	return c.plans.Load().byRef[ref]
}

// Choose returns a plan whose targets all have room now. Targets in prefer are
// said to hold part of the prompt's KV cache.
func (c *PlanCache) Choose(ref config.ModelRef, u config.Urgency, exclude, prefer map[string]bool) (plan.Plan, bool) {
	planned := c.of(ref)
	if planned == nil || planned.chooser == nil {
		return plan.Plan{}, false
	}
	return planned.chooser.Choose(plan.Query{Urgency: u, Usable: c.room(u), Exclude: exclude, Prefer: prefer})
}

// Repair replaces the failed targets of a plan and keeps the others.
func (c *PlanCache) Repair(ref config.ModelRef, current plan.Plan, u config.Urgency, failed map[string]bool) (plan.Plan, bool) {
	planned := c.of(ref)
	if planned == nil || planned.chooser == nil {
		return plan.Plan{}, false
	}
	return planned.chooser.Repair(current, failed, c.room(u))
}

func (c *PlanCache) eligible(target string) bool {
	usable, _ := c.capacity.Usable(target)
	return usable
}

// Layers returns the number of layers of the model.
func (c *PlanCache) Layers(ref config.ModelRef) int {
	if planned := c.of(ref); planned != nil {
		return planned.layers
	}
	return 0
}

func (c *PlanCache) room(u config.Urgency) func(string) bool {
	return func(target string) bool { return c.capacity.HasRoom(target, u) }
}

// Covered reports whether targets that may take work, busy or not, hold all
// layers of the model. Without that waiting in the queue cannot help.
func (c *PlanCache) Covered(ref config.ModelRef, exclude []string) bool {
	planned := c.of(ref)
	if planned == nil || planned.chooser == nil {
		return false
	}
	return covers(planned.layers, planned.holders, func(name string) bool {
		return c.eligible(name) && !slices.Contains(exclude, name)
	})
}

// covers reports whether the ranges of the targets that pass reach from layer 0
// to the last one.
func covers(layers int, targets []*config.Target, passes func(string) bool) bool {
	reached := 0
	for reached < layers {
		next := reached
		for _, target := range targets {
			if target.Layers.From <= reached && target.Layers.To > next && passes(target.Name) {
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

// PlanDump is one model's plans, for the dump.
type PlanDump struct {
	Model      string  `json:"model"`
	Version    string  `json:"version"`
	Adapter    string  `json:"adapter,omitempty"`
	Plans      int     `json:"plans"`
	Throughput float64 `json:"tokensPerSecond"`
	Bound      float64 `json:"boundTokensPerSecond"`
}

// Dump describes the plans.
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
