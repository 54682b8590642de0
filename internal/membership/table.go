package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Table is one VM's view of the fleet. It is not safe for concurrent use.
type Table struct {
	settings Settings
	rng      *rand.Rand
	self     Member
	stopped  bool
	members  map[string]*Member // without self
	rumours  map[string]*rumour
	rotation roundRobin
	probes   roundRobin
	probed   int
	// Refutations counts the suspicions of this VM that it has refuted.
	Refutations uint64
}

// New returns a table that knows only this VM. The random source decides the
// order of probes.
func New(self Identity, s Settings, rng *rand.Rand, now time.Time) *Table {
	t := &Table{
		settings: s.withDefaults(),
		rng:      rng,
		members:  map[string]*Member{},
		rumours:  map[string]*rumour{},
		self: Member{
			Name:        self.Name,
			Address:     self.Address,
			DataCentre:  self.DataCentre,
			Incarnation: self.Incarnation,
			Version:     self.Version,
			Since:       now,
		},
	}
	t.spread(self.Name, true)
	return t
}

// Self returns what this VM says of itself.
func (t *Table) Self() Identity {
	return Identity{
		Name:        t.self.Name,
		Address:     t.self.Address,
		DataCentre:  t.self.DataCentre,
		Incarnation: t.self.Incarnation,
		Leaving:     t.self.Leaving,
		Version:     t.self.Version,
	}
}

// Members returns this VM and all that it knows of, in order of name.
func (t *Table) Members() []Member {
	all := make([]Member, 0, len(t.members)+1)
	all = append(all, t.self)
	for _, m := range t.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Get returns one member.
func (t *Table) Get(name string) (Member, bool) {
	if m := t.find(name); m != nil {
		return *m, true
	}
	return Member{}, false
}

// FleetSize returns how many VMs may serve, this one included.
func (t *Table) FleetSize() int {
	count := 1
	for _, m := range t.members {
		if m.MayServe() {
			count++
		}
	}
	return count
}

// ServingMembers returns the other VMs that may serve, in order of name.
func (t *Table) ServingMembers() []Member {
	var serving []Member
	for _, m := range t.members {
		if m.MayServe() && m.Address != "" {
			serving = append(serving, *m)
		}
	}
	slices.SortFunc(serving, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return serving
}

// SetVersion records what this VM has in force. A lower version is ignored.
func (t *Table) SetVersion(version uint64) {
	if version <= t.self.Version {
		return
	}
	t.self.Version = version
	t.spread(t.self.Name, false)
}

// StartLeaving marks this VM as leaving.
func (t *Table) StartLeaving() {
	if t.self.Leaving {
		return
	}
	t.self.Leaving = true
	t.self.Incarnation++
	t.spread(t.self.Name, true)
}

// Leave marks this VM as stopped. It refutes nothing from then on.
func (t *Table) Leave(now time.Time) {
	t.StartLeaving()
	t.stopped = true
	t.self.Incarnation++
	t.setState(&t.self, Left, now)
}

func (t *Table) find(name string) *Member {
	if name == t.self.Name {
		return &t.self
	}
	return t.members[name]
}

func (t *Table) setState(m *Member, s State, now time.Time) {
	if m.State != s {
		m.Since = now
	}
	m.State = s
	t.spread(m.Name, true)
}
