package layers

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/overload"
)

// Table is this VM's view of the replicas of one model, with the memory that its own
// requests reserve on them. It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex // guards the fields below
	spec        *Spec
	replicas    map[incarnation.Key]*replicaState
	vmCounts    VMCounts
	linkBudgets linkBudgets
	gate        Gate
	// limits are for requests that compete by class, demands by data centre.
	limits  overload.Limits
	demands map[string]demand
	// onRemoteSearch is called when a path is searched for in all data centres.
	onRemoteSearch func()
}

// NewTable returns a table without replicas.
func NewTable() *Table {
	return &Table{
		spec: &Spec{}, replicas: map[incarnation.Key]*replicaState{}, vmCounts: VMCounts{Fleet: 1, Local: 1},
		linkBudgets: linkBudgets{}, demands: map[string]demand{}, gate: openGate{}, onRemoteSearch: func() {},
	}
}

// SetVMCounts sets how many VMs share the replicas.
func (t *Table) SetVMCounts(counts VMCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vmCounts = counts
}

// Update replaces the model's description and the list of replicas by what discovery
// reports. Replicas that are no longer listed get no new requests.
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

// Clear removes all replicas.
func (t *Table) Clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replicas = map[incarnation.Key]*replicaState{}
}

// dataCentres returns the sorted names of the data centres that have replicas. t.mu is held.
func (t *Table) dataCentres() []string {
	var names []string
	for _, s := range t.replicas {
		names = append(names, s.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Layers returns the number of layers of the model.
func (t *Table) Layers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spec.Layers
}

// Covered reports whether every layer is held by a replica that is not draining.
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

// Reserve chooses a path and reserves memory on each of its stages until the reservation
// is released. It returns ErrNoCapacity if waiting can help, ErrNoPath if it cannot,
// ErrNoSpareEntry if too few replicas would remain at which a path can begin, and a
// *pushback.ThrottledError if all replicas at which the path could begin have asked not to be
// sent requests now.
func (t *Table) Reserve(query Query) (*Reservation, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	path, s, err := t.findPath(query, time.Now())
	if err != nil {
		return nil, s.throttledErrorOr(err)
	}
	if !t.gate.Take(path.First().Key(), s.now) {
		return nil, s.throttledErrorOr(ErrNoCapacity)
	}
	r := &Reservation{table: t, query: query, reservedAt: s.now, path: path}
	r.adjustReserved(1)
	t.chargeCrossings("", path, query.tokens(), s.now)
	return r, nil
}

// HasPath reports whether a path exists, with capacity or without.
func (t *Table) HasPath(query Query) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _, err := t.cheapestPath(query, time.Now())
	return !errors.Is(err, ErrNoPath)
}

// findPath finds a path. A competing request that would be late on it leaves the reserve of late
// requests to those that can be in time.
func (t *Table) findPath(query Query, now time.Time) (Path, *search, error) {
	path, s, err := t.cheapestPath(query, now)
	if err != nil || !query.Class.Competing() || query.Class.Late || s.inTime(path) {
		return path, s, err
	}
	query.Class.Late = true
	path, s, err = t.cheapestPath(query, now)
	if errors.Is(err, ErrNoCapacity) {
		err = ErrNotInTime
	}
	return path, s, err
}

// cheapestPath searches for a path in the request's own data centre, and in all data centres if that has
// none or little room left on it. A search takes as long as the replicas that it considers are many.
func (t *Table) cheapestPath(query Query, now time.Time) (Path, *search, error) {
	s := &search{table: t, query: query, now: now, to: t.spec.Layers, fromDC: query.DataCentre, fromCaller: true, onlyDC: query.DataCentre}
	if query.DataCentre != "" {
		// Replicas of other data centres go before suspected ones of this data centre.
		if path, err := s.withoutRepeats(); err == nil && t.isLittleUsed(path) {
			return path, s, nil
		}
		t.onRemoteSearch()
	}
	s = &search{table: t, query: query, now: now, to: t.spec.Layers, fromDC: query.DataCentre, fromCaller: true}
	path, err := s.run()
	return path, s, err
}

// isLittleUsed reports whether this VM uses no stage of a path for more than maxLocalUse.
func (t *Table) isLittleUsed(path Path) bool {
	return !slices.ContainsFunc(path, func(stage Stage) bool {
		s := t.replicas[stage.Replica.Key()]
		return s == nil || s.shareUsed(t.vmCounts.share(s.DataCentre)) > maxLocalUse
	})
}

// OnRemoteSearch sets the function that is called when a path is searched for in all data centres.
// It must not block, and not call the table.
func (t *Table) OnRemoteSearch(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRemoteSearch = f
}

// SetGate sets the gate that holds back replicas that have asked for it.
func (t *Table) SetGate(gate Gate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate = gate
}

// TakeEntry consumes one of the requests that the first replica of a path accepts, and reports whether it
// may be sent; see Gate.
func (t *Table) TakeEntry(first Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.Take(first.Key(), time.Now())
}

// Avoided returns the replicas that this VM avoids now or that its gate holds back, and the excluded ones.
func (t *Table) Avoided(excluded map[incarnation.Key]bool) []incarnation.Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	avoided := slices.Collect(maps.Keys(excluded))
	for k, s := range t.replicas {
		open, _ := t.gate.Open(k, now)
		if (s.suspected(now) || !open) && !excluded[k] {
			avoided = append(avoided, k)
		}
	}
	return avoided
}

// Suspect makes new paths avoid a replica for a while: a request found it dead, silent or
// without the layers that it had reported. A later incarnation of the replica is not
// affected.
func (t *Table) Suspect(r Replica) {
	t.updateReplica(r, func(s *replicaState) { s.suspect(time.Now()) })
}

// RecordRefusal makes new paths avoid a replica that refused a request, for longer if the
// replica has memory free.
func (t *Table) RecordRefusal(r Replica) {
	t.updateReplica(r, func(s *replicaState) { s.recordRefusal(t.spec, time.Now()) })
}

// SetPace records the speed that a replica reported; see Load.Pace.
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

// updateReplica applies change to the state of a replica if its incarnation is still listed.
func (t *Table) updateReplica(r Replica, change func(*replicaState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.replicas[r.Key()]; s != nil {
		change(s)
	}
}

// Dump is the state of one replica in a dump.
type Dump struct {
	ID         string            `json:"id"`
	Born       int64             `json:"born"`
	Address    string            `json:"address"`
	DataCentre string            `json:"dataCentre"`
	Kind       string            `json:"kind"`
	Held       config.LayerRange `json:"held"`
	Draining   bool              `json:"draining"`
	Suspected  bool              `json:"suspected"`
	// Reserved is the fraction of the memory for requests that this VM's requests reserve.
	Reserved float64 `json:"reserved"`
	Pace     float64 `json:"pace"`
}

// Dump returns the states of the replicas, sorted by ID.
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
