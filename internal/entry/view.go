package entry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/relay"
)

// view is what this VM believes of the configuration and the replicas. It turns the
// copies of the operator's tables into what the request path and the placement use.
type view struct {
	adapter    Adapter
	pools      *relay.Pools
	balancer   *balance.Balancer
	invariants *invariant.Registry
	logger     *zap.Logger
	operator   *follow.Follower
	replicas   *follow.Follower

	config atomic.Pointer[relay.Config]

	mu      sync.Mutex // guards the fields below
	version uint64     // of the balancer's snapshots
	listing *listing
	// leaving reports whether a replica has said in an answer that it leaves.
	leaving func(incarnation.Key) bool
	loaded  bool
	// models are the replicas of each model's service that can be used.
	models map[string][]layers.Replica
	// unfit are the entries that the configuration has no use for.
	unfit unusableEntries
}

var _ relay.ConfigSource = (*view)(nil)

// Config implements relay.ConfigSource.
func (v *view) Config() *relay.Config { return v.config.Load() }

// configVersion is that of the configuration in force, 0 before the first.
func (v *view) configVersion() uint64 {
	if c := v.Config(); c != nil {
		return c.Version
	}
	return 0
}

// ConfigAge implements relay.ConfigSource.
func (v *view) ConfigAge() time.Duration { return v.operator.Age() }

// onConfig puts a configuration in force.
func (v *view) onConfig(table platform.TableView) {
	next, err := v.adapter.DecodeConfig(table.Rows)
	if err != nil {
		v.logger.Error("configuration not read; the one before stays in force", zap.Uint64("revision", table.Revision), zap.Error(err))
		return
	}
	if next == nil {
		return
	}
	now := v.config.Load()
	if now != nil && next.Version <= now.Version {
		v.invariants.Check(next.Version == now.Version, invariant.VersionNeverFalls, "from %d to %d at revision %d", now.Version, next.Version, table.Revision)
		return
	}
	v.config.Store(next)
	v.logger.Info("configuration in force", zap.Uint64("configVersion", next.Version), zap.Uint64("revision", table.Revision), zap.Int("profiles", next.NumProfiles()))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply()
}

// onReplicas takes over the list of replicas.
func (v *view) onReplicas(table platform.TableView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listing.take(table.Rows, table.Revision, v.replicas.Settling(), time.Now())
	v.loaded = true
	v.apply()
}

// onLoads takes over what replicas reported. A replica that has started again tells so
// before discovery does; what its earlier incarnation reported is dropped.
func (v *view) onLoads(loads map[incarnation.Key]layers.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	current := make(map[incarnation.Key]layers.Load, len(loads))
	for k, load := range loads {
		if load.Down {
			current[k] = load
			continue
		}
		heard, restarted := v.listing.heardOf(k, time.Now())
		changed = changed || restarted
		if !heard.Superseded {
			current[heard.Key] = load
		}
	}
	if changed {
		v.apply()
	}
	v.pools.SetLoads(current)
}

// heardOf takes the word of one incarnation that answered.
func (v *view) heardOf(k incarnation.Key) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, changed := v.listing.heardOf(k, time.Now()); changed {
		v.apply()
	}
}

// onLeaving takes that a replica says that it leaves: it is draining, whatever discovery shows.
func (v *view) onLeaving(incarnation.Key) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply()
}

// settle drops what waited for news that did not come.
func (v *view) settle() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listing.settle(v.replicas.Settling(), time.Now()) {
		v.apply()
	}
}

// apply hands the replicas to those who choose among them. v.mu is held.
func (v *view) apply() {
	c := v.config.Load()
	if c == nil || !v.loaded {
		return
	}
	v.version++
	snapshot := config.NewSnapshot()
	snapshot.Version = v.version
	v.models = map[string][]layers.Replica{}
	unfit := map[string]error{}
	for _, r := range v.listing.present() {
		r.Draining = r.Draining || v.leaving(r.Key())
		if err := fits(c, r); err != nil {
			unfit[r.ID] = err
			continue
		}
		if c.Services[r.Service].Model != nil {
			v.models[r.Service] = append(v.models[r.Service], r.Replica)
			continue
		}
		t := asTarget(r)
		snapshot.Targets[t.Name] = t
	}
	v.unfit.replace(unfit, zap.Uint64("configVersion", c.Version))
	v.balancer.Update(snapshot)
	for name, service := range c.Services {
		if service.Model != nil {
			v.pools.Update(name, service.Model, v.models[name])
		}
	}
}

func asTarget(r relay.Replica) *config.Target {
	t := &config.Target{
		Name: r.Key().String(), Address: r.Address, DataCentre: r.DataCentre, Kind: config.KindService,
		Service: r.Service, Slots: max(1, r.Slots), State: config.StateActive,
	}
	if r.Draining {
		t.State = config.StateDraining
	}
	return t
}

// ready reports whether requests can be judged and sent.
func (v *view) ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config.Load() != nil && v.loaded
}

// model returns the description and the replicas of a model's service.
func (v *view) model(name string) (*layers.Spec, []layers.Replica) {
	c := v.config.Load()
	if c == nil || c.Services[name] == nil || c.Services[name].Model == nil {
		return nil, nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return c.Services[name].Model, slices.Clone(v.models[name])
}

// engines returns the replicas of all models.
func (v *view) engines() []layers.Replica {
	var all []layers.Replica
	for _, name := range v.modelNames() {
		_, replicas := v.model(name)
		all = append(all, replicas...)
	}
	return all
}

// modelNames names the services that serve a model.
func (v *view) modelNames() []string {
	c := v.config.Load()
	if c == nil {
		return nil
	}
	var names []string
	for name, service := range c.Services {
		if service.Model != nil {
			names = append(names, name)
		}
	}
	return names
}

// unusableEntries returns why entries of discovery name no replica to use, some of them by
// id, and how many have turned so since the start.
func (v *view) unusableEntries() (why map[string]string, turned uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	why = v.listing.unusable.dump()
	maps.Copy(why, v.unfit.dump())
	return why, v.listing.unusable.turned + v.unfit.turned
}

// unusableCounts returns how many entries name no replica to use now, and how many have
// turned so since the start.
func (v *view) unusableCounts() (now int, turned uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.listing.unusable.why) + len(v.unfit.why), v.listing.unusable.turned + v.unfit.turned
}
