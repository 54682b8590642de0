package membership

import (
	"cmp"
	"slices"
)

// rumour is an update that is still being passed on.
type rumour struct {
	name string
	// full says that the rumour carries the state and the address, and not only the version.
	full          bool
	transmissions int
}

func (t *Table) queueRumour(name string, full bool) {
	r := t.rumours[name]
	if r == nil {
		t.rumours[name] = &rumour{name: name, full: full}
		return
	}
	r.full = r.full || full
	r.transmissions = 0
}

// Gossip returns the updates for one message to a VM: up to limit rumours, the least often
// transmitted first, and then a few members in rotation. If this VM holds the receiver not alive,
// that comes first, so that the receiver can refute it.
func (t *Table) Gossip(to string, limit int) []Update {
	updates := make([]Update, 0, min(limit, len(t.rumours))+t.settings.Rotation+1)
	if m := t.members[to]; m != nil && m.State != Alive {
		updates = append(updates, t.updateFor(m, true))
	}
	maxTransmissions := t.settings.transmitLimit(t.FleetSize())
	for _, r := range t.pendingRumours(limit) {
		updates = append(updates, t.transmit(r, maxTransmissions))
	}
	return t.appendRotation(updates)
}

// FullState returns updates about all members that may serve, for a VM that has just joined.
func (t *Table) FullState() []Update {
	updates := []Update{t.updateFor(&t.self, true)}
	for _, m := range t.ServingMembers() {
		updates = append(updates, t.updateFor(&m, true))
	}
	return updates
}

// Rumours returns the number of updates that are still being passed on.
func (t *Table) Rumours() int { return len(t.rumours) }

func (t *Table) pendingRumours(limit int) []*rumour {
	pending := make([]*rumour, 0, len(t.rumours))
	for _, r := range t.rumours {
		pending = append(pending, r)
	}
	slices.SortFunc(pending, func(a, b *rumour) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.name, b.name))
	})
	return pending[:min(limit, len(pending))]
}

func (t *Table) transmit(r *rumour, maxTransmissions int) Update {
	r.transmissions++
	if r.transmissions >= maxTransmissions {
		delete(t.rumours, r.name)
	}
	return t.updateFor(t.find(r.name), r.full)
}

func (t *Table) appendRotation(updates []Update) []Update {
	for range t.settings.Rotation {
		m := t.rotation.next(t, func(m *Member) bool { return m.MayServe() && m.Incarnation != 0 })
		if m == nil {
			break
		}
		updates = append(updates, t.updateFor(m, true))
	}
	return updates
}

func (t *Table) updateFor(m *Member, full bool) Update {
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
