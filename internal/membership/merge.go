package membership

import "time"

// Merge takes over the updates of a message.
func (t *Table) Merge(updates []Update, now time.Time) {
	for _, u := range updates {
		t.mergeOne(u, now)
	}
}

func (t *Table) mergeOne(u Update, now time.Time) {
	if u.Name == t.self.Name {
		t.refute(u)
		return
	}
	m := t.members[u.Name]
	if m == nil {
		t.addFromRumour(u, now)
		return
	}
	if !u.VersionOnly {
		t.mergeState(m, u, now)
	}
	t.raiseVersion(m, u.Incarnation, u.Version)
}

// refute responds to an update that says that this VM is not alive, or that it has an incarnation
// which it does not have: this VM takes a higher incarnation and gossips it.
func (t *Table) refute(u Update) {
	if t.stopped || u.VersionOnly || u.Incarnation < t.self.Incarnation {
		return
	}
	if u.Incarnation == t.self.Incarnation && u.State == Alive {
		return
	}
	if u.Incarnation.ProcessStart() > t.self.Incarnation.ProcessStart() {
		t.self.Incarnation = u.Incarnation.nextProcess()
	} else {
		t.self.Incarnation = u.Incarnation + 1
	}
	t.Refutations++
	t.queueRumour(t.self.Name, true)
}

// maxMembers bounds the members learned from rumours, so that a faulty peer cannot exhaust this
// VM's memory.
const maxMembers = 4096

// addFromRumour adds a VM that is known only from a rumour. It does not add a dead one that this
// VM has forgotten: two VMs would otherwise remind each other of it forever.
func (t *Table) addFromRumour(u Update, now time.Time) {
	if u.VersionOnly || u.Name == "" || u.State == Dead || u.State == Left {
		return
	}
	if len(t.members) >= maxMembers {
		return
	}
	t.members[u.Name] = &Member{
		Name:        u.Name,
		Address:     u.Address,
		DataCentre:  u.DataCentre,
		Incarnation: u.Incarnation,
		State:       u.State,
		Leaving:     u.Leaving,
		Version:     u.Version,
		Since:       now,
	}
	t.queueRumour(u.Name, true)
}

func (t *Table) mergeState(m *Member, u Update, now time.Time) {
	if u.Incarnation < m.Incarnation {
		return
	}
	if u.Incarnation > m.Incarnation {
		t.raiseIncarnation(m, Identity{
			Address: u.Address, DataCentre: u.DataCentre,
			Incarnation: u.Incarnation, Leaving: u.Leaving,
		}, now)
	}
	t.mergeSameIncarnation(m, u.State, now)
}

func (t *Table) mergeSameIncarnation(m *Member, reported State, now time.Time) {
	switch {
	case reported == Left && m.State != Left:
		t.setState(m, Left, now)
	case reported == Dead && m.State == Alive:
		// Only this VM's own timeout declares a VM dead.
		t.setState(m, Suspected, now)
	case reported == Suspected && m.State == Alive:
		t.setState(m, Suspected, now)
	case reported == Alive && m.State != Alive:
		// The sender does not know of the state yet, and perhaps the VM itself does not either and
		// cannot refute it. Gossip the state again.
		t.queueRumour(m.Name, true)
	}
}
