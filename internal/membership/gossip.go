package membership

import (
	"cmp"
	"slices"
)

// rumour is an update that is still being passed on.
type rumour struct {
	name string
	// full rumours carry the state and the address, others only the version.
	full bool
	sent int
}

func (t *Table) spread(name string, full bool) {
	r := t.rumours[name]
	if r == nil {
		t.rumours[name] = &rumour{name: name, full: full}
		return
	}
	r.full = r.full || full
	r.sent = 0
}

// Gossip returns up to limit rumours for one message to a VM, those passed on
// least often first, then a few members in rotation. What this VM holds against
// the receiver comes first, so that the receiver can refute it.
func (t *Table) Gossip(to string, limit int) []Update {
	updates := make([]Update, 0, min(limit, len(t.rumours))+t.settings.Rotation+1)
	if m := t.members[to]; m != nil && m.State != Alive {
		updates = append(updates, t.update(m, true))
	}
	transmits := t.settings.transmits(t.FleetSize())
	for _, r := range t.pending(limit) {
		updates = append(updates, t.pass(r, transmits))
	}
	return t.rotate(updates)
}

// FullState returns all members that may serve, for a VM that has just joined.
func (t *Table) FullState() []Update {
	updates := []Update{t.update(&t.self, true)}
	for _, m := range t.ServingMembers() {
		updates = append(updates, t.update(&m, true))
	}
	return updates
}

// Rumours returns how many updates are still being passed on.
func (t *Table) Rumours() int { return len(t.rumours) }

func (t *Table) pending(limit int) []*rumour {
	pending := make([]*rumour, 0, len(t.rumours))
	for _, r := range t.rumours {
		pending = append(pending, r)
	}
	slices.SortFunc(pending, func(a, b *rumour) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.name, b.name))
	})
	return pending[:min(limit, len(pending))]
}

func (t *Table) pass(r *rumour, transmits int) Update {
	r.sent++
	if r.sent >= transmits {
		delete(t.rumours, r.name)
	}
	return t.update(t.find(r.name), r.full)
}

func (t *Table) rotate(updates []Update) []Update {
	for range t.settings.Rotation {
		m := t.rotation.next(t, func(m *Member) bool { return m.MayServe() && m.Incarnation != 0 })
		if m == nil {
			break
		}
		updates = append(updates, t.update(m, true))
	}
	return updates
}

func (t *Table) update(m *Member, full bool) Update {
	if !full {
		return Update{Name: m.Name, Incarnation: m.Incarnation, Version: m.Version, VersionOnly: true}
	}
	return Update{
		Name:        m.Name,
		Incarnation: m.Incarnation,
		Version:     m.Version,
		Address:     m.Address,
		DataCentre:  m.DataCentre,
		State:       m.State,
		Leaving:     m.Leaving,
	}
}
