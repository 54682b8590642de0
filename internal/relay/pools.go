package relay

import (
	"sync"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/overload"
)

// Pools holds the table of replicas of each model's service. It is safe for concurrent use.
type Pools struct {
	mu       sync.RWMutex // guards the fields below
	tables   map[string]*layers.Table
	vmCounts layers.VMCounts
	gate     layers.Gate
	limits   overload.Limits
	// onRemoteSearch is called when a path is searched for in all data centres; may be nil.
	onRemoteSearch func()
}

// NewPools returns an empty set of pools.
func NewPools() *Pools { return &Pools{tables: map[string]*layers.Table{}} }

// of returns the table of a service, nil for one without a model.
func (p *Pools) of(service string) *layers.Table {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.tables[service]
}

// Update replaces the replicas of a model's service.
func (p *Pools) Update(service string, spec *layers.Spec, replicas []layers.Replica) {
	p.mu.Lock()
	table := p.tables[service]
	if table == nil {
		table = layers.NewTable()
		table.SetVMCounts(p.vmCounts)
		table.SetOverloadLimits(p.limits)
		if p.gate != nil {
			table.SetGate(p.gate)
		}
		if p.onRemoteSearch != nil {
			table.OnRemoteSearch(p.onRemoteSearch)
		}
		p.tables[service] = table
	}
	p.mu.Unlock()
	table.Update(spec, replicas)
}

// Retain drops the services for which keep returns false. Streams in progress get no other replica of them.
func (p *Pools) Retain(keep func(service string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, table := range p.tables {
		if !keep(name) {
			table.Clear()
			delete(p.tables, name)
		}
	}
}

// SetVMCounts sets how many VMs share the replicas.
func (p *Pools) SetVMCounts(s layers.VMCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmCounts = s
	for _, table := range p.tables {
		table.SetVMCounts(s)
	}
}

// SetGate sets the gate that withholds requests from replicas. It must be called before the first
// Update.
func (p *Pools) SetGate(gate layers.Gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate = gate
}

// SetOverloadLimits sets how much of a replica requests of different classes may use. It must be called
// before the first Update.
func (p *Pools) SetOverloadLimits(l overload.Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = l
}

// OnRemoteSearch sets the function that is called when a path is searched for in all data centres.
// It must be called before the first Update. The function must not block or call the pools.
func (p *Pools) OnRemoteSearch(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onRemoteSearch = f
}

// SetLoads records the loads reported by replicas of any pool.
func (p *Pools) SetLoads(loads map[incarnation.Key]layers.Load) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, table := range p.tables {
		table.SetLoads(loads)
	}
}

// Covered reports whether the replicas hold all layers of every model.
func (p *Pools) Covered() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, table := range p.tables {
		if !table.Covered() {
			return false
		}
	}
	return true
}

// Dump returns the state of all pools by service.
func (p *Pools) Dump() map[string][]layers.Dump {
	p.mu.RLock()
	defer p.mu.RUnlock()
	dumps := make(map[string][]layers.Dump, len(p.tables))
	for name, table := range p.tables {
		dumps[name] = table.Dump()
	}
	return dumps
}
