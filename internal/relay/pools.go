package relay

import (
	"sync"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
)

// Pools holds the view of each model's replicas. It is safe for concurrent use.
type Pools struct {
	mu      sync.RWMutex // guards the fields below
	tables  map[string]*layers.Table
	sharers layers.VMCounts
	gate    layers.Gate
}

// NewPools returns no pools.
func NewPools() *Pools { return &Pools{tables: map[string]*layers.Table{}} }

// of returns the table of a service, nil for a plain one.
func (p *Pools) of(service string) *layers.Table {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.tables[service]
}

// Update takes over the replicas of a model's service.
func (p *Pools) Update(service string, spec *layers.Spec, replicas []layers.Replica) {
	p.mu.Lock()
	table := p.tables[service]
	if table == nil {
		table = layers.NewTable()
		table.SetVMCounts(p.sharers)
		if p.gate != nil {
			table.SetGate(p.gate)
		}
		p.tables[service] = table
	}
	p.mu.Unlock()
	table.Update(spec, replicas)
}

// SetSharers tells how many VMs share the replicas.
func (p *Pools) SetSharers(s layers.VMCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sharers = s
	for _, table := range p.tables {
		table.SetVMCounts(s)
	}
}

// SetGate sets what holds replicas back. It is called before the first Update.
func (p *Pools) SetGate(gate layers.Gate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate = gate
}

// SetLoads takes over what replicas of any pool reported.
func (p *Pools) SetLoads(loads map[incarnation.Key]layers.Load) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, table := range p.tables {
		table.SetLoads(loads)
	}
}

// Covered reports whether every model's layers are all held.
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

// Dump returns the state of all pools.
func (p *Pools) Dump() map[string][]layers.Dump {
	p.mu.RLock()
	defer p.mu.RUnlock()
	dumps := make(map[string][]layers.Dump, len(p.tables))
	for name, table := range p.tables {
		dumps[name] = table.Dump()
	}
	return dumps
}
