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

// view holds this VM's current knowledge of the configuration and the replicas. It derives the
// data of the request path and the placement from copies of the operator's tables. It is safe
// for concurrent use.
type view struct {
	adapter    Adapter
	pools      *relay.Pools
	balancer   *balance.Balancer
	invariants *invariant.Registry
	logger     *zap.Logger
	// overloadControl is set if priorities may decide who is served. Where they do, the pools from which
	// paths are allocated to other VMs are kept as well, and onAllocation is called when their loads change.
	overloadControl bool
	allocationPools *relay.Pools
	onAllocation    func()
	operatorTable   *follow.Follower
	replicaTable    *follow.Follower

	config atomic.Pointer[relay.Config]
	// addresses are those of all replicas in the list.
	addresses atomic.Pointer[replicaAddresses]
	// usable has the replicas that requests may be sent to.
	usable atomic.Pointer[map[incarnation.Key]bool]
	// decoded and configRows, the rows of the configuration in force, are used by onConfig alone and
	// contentVersion, one call at a time.
	decoded    decodedConfig
	configRows map[string][]byte

	mu         sync.Mutex // guards the fields below
	version    uint64     // of the balancer's last snapshot
	competing  bool       // requests compete at some service, or did
	replicaSet *replicaSet
	// isLeaving reports whether a replica has announced in an answer that it leaves.
	isLeaving func(incarnation.Key) bool
	// loaded is true once the list of replicas has been read.
	loaded bool
	// modelDataCentres are the data centres of the replicas in models.
	modelDataCentres []string
	// models holds the usable replicas of each service that serves a model.
	models map[string][]layers.Replica
	// mismatched holds the entries that don't fit the configuration.
	mismatched unusableEntries
}

var (
	_ relay.ConfigSource = (*view)(nil)
	_ relay.ReplicaList  = (*view)(nil)
)

// Config implements relay.ConfigSource.
func (v *view) Config() *relay.Config { return v.config.Load() }

// configVersion returns the version of the configuration in force, 0 before the first.
func (v *view) configVersion() uint64 {
	if c := v.Config(); c != nil {
		return c.Version
	}
	return 0
}

// ConfigAge implements relay.ConfigSource.
func (v *view) ConfigAge() time.Duration { return v.operatorTable.Age() }

// ListState implements relay.ReplicaList.
func (v *view) ListState() (version platform.Version, age time.Duration) {
	if copied := v.replicaTable.View(); copied != nil {
		version = copied.Version
	}
	return version, v.replicaTable.Age()
}

// MayBeSent implements relay.ReplicaList.
func (v *view) MayBeSent(replica incarnation.Key) bool {
	usable := v.usable.Load()
	return usable != nil && (*usable)[replica]
}

// onConfig puts the configuration of a table in force if it is newer than the current one, or another
// one of the same version, which the operator has written later. An older one, which the follower does
// not pass on, is reported as an invariant violation.
func (v *view) onConfig(table platform.TableView) {
	next, err := v.decodeConfig(table.Rows)
	if err != nil {
		v.logger.Error("configuration not read; the one before stays in force", zap.Stringer("version", table.Version), zap.Error(err))
		return
	}
	if next == nil {
		return
	}
	now := v.config.Load()
	if now != nil && (next.Version < now.Version || sameRows(table.Rows, v.configRows)) {
		v.invariants.Check(next.Version >= now.Version, invariant.VersionNeverFalls, "from %d to %d at version %s", now.Version, next.Version, table.Version)
		return
	}
	v.config.Store(next)
	v.configRows = table.Rows
	v.logInvalidTiming(next)
	v.logger.Info("configuration in force", zap.Uint64("configVersion", next.Version), zap.Stringer("version", table.Version), zap.Int("profiles", next.NumProfiles()))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply()
}

// logInvalidTiming logs the models whose description does not allow estimates of time, where requests
// compete.
func (v *view) logInvalidTiming(c *relay.Config) {
	for name, service := range c.Services {
		if service.Model == nil || !service.Model.PlaceForBottleneck {
			continue
		}
		if err := service.Model.CheckTiming(); err != nil {
			v.logger.Warn("no estimates of time for a model", zap.String("service", name), zap.Uint64("configVersion", c.Version), zap.Error(err))
		}
	}
}

// onReplicas applies the list of replicas.
func (v *view) onReplicas(table platform.TableView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replicaSet.update(table.Rows, table.Version, v.replicaTable.Settling(), time.Now())
	v.loaded = true
	v.apply()
}

// onLoads applies the loads that replicas reported. Reports show the restart of a replica before
// discovery does. Loads that an earlier incarnation reported are dropped.
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
		observed, setChanged := v.replicaSet.observeReport(k, time.Now())
		changed = changed || setChanged
		if !observed.Superseded {
			current[observed.Key] = load
		}
	}
	if changed {
		v.apply()
	}
	v.pools.SetLoads(current)
	if v.competing {
		v.allocationPools.SetLoads(current)
		v.onAllocation()
	}
}

// observeReport applies the incarnation that a replica named in an answer.
func (v *view) observeReport(k incarnation.Key) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, changed := v.replicaSet.observeReport(k, time.Now()); changed {
		v.apply()
	}
}

// onLeaving runs after a replica has announced that it leaves: it counts as draining, whatever its
// entry says.
func (v *view) onLeaving(incarnation.Key) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply()
}

// maxUnconfirmed is the age of the list up to which a replica that is missing in it counts as not written
// again. Copies are older than that when the store is away once more.
const maxUnconfirmed = 1500 * time.Millisecond

// dropExpired drops vanished replicas and silent successors, see replicaSet.dropExpired.
func (v *view) dropExpired() {
	settling := v.replicaTable.Settling() || v.replicaTable.Age() > maxUnconfirmed
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.replicaSet.dropExpired(settling, time.Now()) {
		v.apply()
	}
}

// apply passes the replicas to the balancer and the pools. v.mu is held.
func (v *view) apply() {
	c := v.config.Load()
	if c == nil || !v.loaded {
		return
	}
	v.version++
	snapshot := config.NewSnapshot()
	snapshot.Version = v.version
	v.models = map[string][]layers.Replica{}
	dataCentres := map[string]bool{}
	mismatched := map[string]error{}
	addresses := newReplicaAddresses()
	usable := map[incarnation.Key]bool{}
	for _, r := range v.replicaSet.current() {
		addresses.add(r.Address)
		r.Draining = r.Draining || v.isLeaving(r.Key())
		if err := checkEntry(c, r); err != nil {
			mismatched[r.ID] = err
			continue
		}
		if !r.Draining {
			usable[r.Key()] = true
		}
		if c.Services[r.Service].Model != nil {
			v.models[r.Service] = append(v.models[r.Service], r.Replica)
			dataCentres[r.DataCentre] = true
			continue
		}
		t := targetOf(r)
		snapshot.Targets[t.Name] = t
	}
	v.addresses.Store(addresses)
	v.modelDataCentres = slices.Sorted(maps.Keys(dataCentres))
	v.mismatched.replace(mismatched, zap.Uint64("configVersion", c.Version))
	v.balancer.Update(snapshot)
	servesModel := func(name string) bool { return c.Services[name] != nil && c.Services[name].Model != nil }
	defer v.usable.Store(&usable) // once the tables from which replicas are chosen agree with it
	v.pools.Retain(servesModel)
	v.allocationPools.Retain(servesModel)
	for name, service := range c.Services {
		if service.Model != nil {
			v.pools.Update(name, service.Model, v.models[name])
			if service.Model.PlaceForBottleneck {
				v.competing = true
				v.allocationPools.Update(name, service.Model, v.models[name])
			}
		}
	}
}

func targetOf(r relay.Replica) *config.Target {
	t := &config.Target{
		Name: r.Key().String(), Address: r.Address, DataCentre: r.DataCentre, Kind: config.KindService,
		Service: r.Service, Slots: max(1, r.Slots), State: config.StateActive,
	}
	if r.Draining {
		t.State = config.StateDraining
	}
	return t
}

// ready reports whether requests can be checked and sent: the configuration and the replicas have
// been read.
func (v *view) ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config.Load() != nil && v.loaded
}

// model returns the specification and the replicas of a model's service, nil if the configuration
// has no such service.
func (v *view) model(name string) (*layers.Spec, []layers.Replica) {
	c := v.config.Load()
	if c == nil || c.Services[name] == nil || c.Services[name].Model == nil {
		return nil, nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return c.Services[name].Model, slices.Clone(v.models[name])
}

// modelReplicas returns the replicas of all models.
func (v *view) modelReplicas() []layers.Replica {
	var all []layers.Replica
	for _, name := range v.modelServices() {
		_, replicas := v.model(name)
		all = append(all, replicas...)
	}
	return all
}

// dataCentres returns the data centres that have replicas of models.
func (v *view) dataCentres() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.modelDataCentres
}

// modelServices returns the names of the services that serve a model.
func (v *view) modelServices() []string {
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

// unusableEntries returns the reasons why discovery entries can't be used, for some of them by
// id, and the number of entries that became unusable since the start.
func (v *view) unusableEntries() (reasons map[string]string, total uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	reasons = v.replicaSet.unusable.dump()
	maps.Copy(reasons, v.mismatched.dump())
	return reasons, v.replicaSet.unusable.total + v.mismatched.total
}

// unusableCounts returns the number of entries that can't be used now, and of those that became
// unusable since the start.
func (v *view) unusableCounts() (current int, total uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.replicaSet.unusable.reasons) + len(v.mismatched.reasons), v.replicaSet.unusable.total + v.mismatched.total
}
