package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/follow"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/relay"
)

// view is what this VM believes of the configuration and the replicas. It turns the
// copies of the operator's tables into what the request path and the placement use.
type view struct {
	wiring     Wiring
	pools      *relay.Pools
	balancer   *balance.Balancer
	invariants *invariant.Registry
	logger     *zap.Logger
	operator   *follow.Follower
	replicas   *follow.Follower

	config atomic.Pointer[relay.Config]

	mu      sync.Mutex // guards the fields below
	version uint64     // of the balancer's snapshots
	listed  map[string]relay.Replica
	// vanished are replicas that are listed no more but may come back, because their
	// entries ran out while the store was away.
	vanished map[string]relay.Replica
	loaded   bool
}

var _ relay.Source = (*view)(nil)

// Config implements relay.Source.
func (v *view) Config() *relay.Config { return v.config.Load() }

// ConfigAge implements relay.Source.
func (v *view) ConfigAge() time.Duration { return v.operator.Age() }

// onConfig puts a configuration in force.
func (v *view) onConfig(table platform.TableView) {
	next, err := v.wiring.DecodeConfig(table.Rows)
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
	v.logger.Info("configuration in force", zap.Uint64("configVersion", next.Version), zap.Uint64("revision", table.Revision), zap.Int("profiles", next.Profiles()))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply()
}

// onReplicas takes over the list of replicas.
func (v *view) onReplicas(table platform.TableView) {
	listed := make(map[string]relay.Replica, len(table.Rows))
	for id, row := range table.Rows {
		replica, err := v.wiring.DecodeReplica(id, row)
		if err != nil {
			v.logger.Error("entry of a replica not read", zap.String("replica", id), zap.Error(err))
			continue
		}
		listed[id] = replica
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.logChanges(listed, table.Revision)
	settling := v.replicas.Settling()
	for id, before := range v.listed {
		if _, still := listed[id]; !still && settling && !before.Draining {
			v.vanished[id] = before
		}
	}
	for id := range listed {
		delete(v.vanished, id)
	}
	v.listed, v.loaded = listed, true
	v.apply()
}

// settle drops vanished replicas once their time to come back is over.
func (v *view) settle() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.vanished) == 0 || v.replicas.Settling() {
		return
	}
	v.logger.Info("vanished replicas dropped", zap.Int("replicas", len(v.vanished)))
	clear(v.vanished)
	v.apply()
}

func (v *view) logChanges(listed map[string]relay.Replica, revision uint64) {
	for id, now := range listed {
		before, known := v.listed[id]
		if known && before == now {
			continue
		}
		v.logger.Info("replica listed", zap.String("replica", id), zap.String("service", now.Service), zap.String("address", now.Address),
			zap.Bool("draining", now.Draining), zap.Stringer("held", now.Held), zap.Bool("new", !known), zap.Uint64("revision", revision))
	}
	for id, before := range v.listed {
		if _, still := listed[id]; !still {
			v.logger.Info("replica gone", zap.String("replica", id), zap.String("address", before.Address), zap.Uint64("revision", revision))
		}
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
	models := map[string][]layers.Replica{}
	for _, r := range v.present() {
		service := c.Services[r.Service]
		if service != nil && service.Model != nil {
			models[r.Service] = append(models[r.Service], r.Replica)
			continue
		}
		snapshot.Targets[r.ID] = asTarget(r)
	}
	v.balancer.Update(snapshot)
	for name, service := range c.Services {
		if service.Model != nil {
			v.pools.Update(name, service.Model, models[name])
		}
	}
}

// present returns the listed replicas and those that may come back. v.mu is held.
func (v *view) present() []relay.Replica {
	all := make([]relay.Replica, 0, len(v.listed)+len(v.vanished))
	for _, r := range v.listed {
		all = append(all, r)
	}
	for _, r := range v.vanished {
		all = append(all, r)
	}
	return all
}

func asTarget(r relay.Replica) *config.Target {
	t := &config.Target{
		Name: r.ID, Address: r.Address, DataCentre: r.DataCentre, Kind: config.KindService,
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
	if !v.loaded {
		return nil, nil
	}
	var replicas []layers.Replica
	for _, r := range v.present() {
		if r.Service == name {
			replicas = append(replicas, r.Replica)
		}
	}
	return c.Services[name].Model, replicas
}

// engines returns the replicas of all models.
func (v *view) engines() []layers.Replica {
	var all []layers.Replica
	for _, name := range v.models() {
		_, replicas := v.model(name)
		all = append(all, replicas...)
	}
	return all
}

// models names the services that serve a model.
func (v *view) models() []string {
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
