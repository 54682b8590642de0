package layers

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
)

// Table is this VM's view of the replicas of one model, with the memory that its
// own requests hold on them. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex // guards the fields below
	spec     *Spec
	replicas map[incarnation.Key]*replicaState
	vmCounts VMCounts
	links    linkBudgets
	gate     Gate
}

// NewTable returns a table without replicas.
func NewTable() *Table {
	return &Table{spec: &Spec{}, replicas: map[incarnation.Key]*replicaState{}, vmCounts: VMCounts{Fleet: 1, Local: 1}, links: linkBudgets{}, gate: openGate{}}
}

// SetVMCounts tells how many VMs share the replicas' memory.
func (t *Table) SetVMCounts(s VMCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vmCounts = s
}

// Update takes over the model's description and the replicas as discovery lists
// them. Replicas that are missing get no new request from now on.
func (t *Table) Update(spec *Spec, replicas []Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spec = spec
	next := make(map[incarnation.Key]*replicaState, len(replicas))
	for _, r := range replicas {
		s := t.replicas[r.Key()]
		if s == nil {
			s = &replicaState{}
		}
		s.reset(spec, r)
		next[r.Key()] = s
	}
	t.replicas = next
}

// dataCentres names the data centres that have replicas, in order. The table is locked.
func (t *Table) dataCentres() []string {
	var names []string
	for _, s := range t.replicas {
		names = append(names, s.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Layers returns how many layers the model has.
func (t *Table) Layers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spec.Layers
}

// Covered reports whether the replicas hold every layer.
func (t *Table) Covered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make([]bool, t.spec.Layers)
	for _, s := range t.replicas {
		for l := s.Held.From; !s.Draining && l < s.Held.To && l < len(held); l++ {
			held[l] = true
		}
	}
	for _, h := range held {
		if !h {
			return false
		}
	}
	return len(held) > 0
}

// Reserve chooses a path and holds room on each of its stages until the
// reservation is released. It returns ErrNoRoom when waiting can help and ErrNoPath
// when it cannot, and a *pushback.ThrottledError when all replicas that the path could begin at have asked not
// to be sent requests now.
func (t *Table) Reserve(need Query) (*Reservation, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := search{table: t, query: need, now: time.Now(), to: t.spec.Layers, fromDC: need.DataCentre, fromCaller: true}
	path, err := s.run()
	if err != nil {
		return nil, s.heldErrorOr(err)
	}
	if !t.gate.Take(path.First().Key(), s.now) {
		return nil, s.heldErrorOr(ErrNoRoom)
	}
	r := &Reservation{table: t, query: need, reservedAt: s.now, path: path}
	r.adjustReserved(1)
	t.chargeCrossings("", path, need.tokens(), s.now)
	return r, nil
}

// SetGate sets what holds replicas back that have asked for it.
func (t *Table) SetGate(gate Gate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate = gate
}

// Suspect avoids a replica for a while: a request found it dead, silent or without
// the layers that it reported. A later incarnation of the replica is not meant.
func (t *Table) Suspect(r Replica) {
	t.updateReplica(r, func(s *replicaState) { s.suspect(time.Now()) })
}

// RecordRefusal avoids a replica that did not take a request, for longer if it has room.
func (t *Table) RecordRefusal(r Replica) {
	t.updateReplica(r, func(s *replicaState) { s.recordRefusal(time.Now()) })
}

// SetPace takes what a replica's report says of its speed.
func (t *Table) SetPace(r Replica, pace float64) {
	t.updateReplica(r, func(s *replicaState) { s.pace, s.paceAt = pace, time.Now() })
}

// ReplicaAt returns the replica that is listed at an address. Ok is false if there is none.
func (t *Table) ReplicaAt(address string) (r Replica, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.replicas {
		if s.Address == address {
			return s.Replica, true
		}
	}
	return Replica{}, false
}

// updateReplica changes what this VM knows updateReplica a replica, if it is still listed.
func (t *Table) updateReplica(r Replica, change func(*replicaState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.replicas[r.Key()]; s != nil {
		change(s)
	}
}

// Dump is the state of one replica, for the dump.
type Dump struct {
	ID         string            `json:"id"`
	Born       int64             `json:"born"`
	Address    string            `json:"address"`
	DataCentre string            `json:"dataCentre"`
	Kind       string            `json:"kind"`
	Held       config.LayerRange `json:"held"`
	Draining   bool              `json:"draining"`
	Suspected  bool              `json:"suspected"`
	// Reserved is the share of the memory for requests that this VM's requests hold.
	Reserved float64 `json:"reserved"`
	Pace     float64 `json:"pace"`
}

// Dump returns the replicas' state, by ID.
func (t *Table) Dump() []Dump {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	dumps := make([]Dump, 0, len(t.replicas))
	for _, k := range slices.SortedFunc(maps.Keys(t.replicas), func(a, b incarnation.Key) int { return strings.Compare(a.ID, b.ID) }) {
		s := t.replicas[k]
		dumps = append(dumps, Dump{
			ID: s.ID, Born: s.Born, Address: s.Address, DataCentre: s.DataCentre, Kind: s.Kind, Held: s.Held,
			Draining: s.Draining, Suspected: s.suspected(now), Reserved: s.reserved / max(1, s.capacity), Pace: s.pace,
		})
	}
	return dumps
}
