package membership

import "time"

// Merge takes in rumours.
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
		t.learn(u, now)
		return
	}
	if !u.VersionOnly {
		t.mergeState(m, u, now)
	}
	t.raiseVersion(m, u.Incarnation, u.Version)
}

// refute answers a rumour that this VM is not alive, or that it has a life that
// it has not: it takes a higher incarnation and spreads that.
func (t *Table) refute(u Update) {
	if t.stopped || u.VersionOnly || u.Incarnation < t.self.Incarnation {
		return
	}
	if u.Incarnation == t.self.Incarnation && u.State == Alive {
		return
	}
	if u.Incarnation.ProcessStart() > t.self.Incarnation.ProcessStart() {
		t.self.Incarnation = u.Incarnation.nextLife()
	} else {
		t.self.Incarnation = u.Incarnation + 1
	}
	t.Refutations++
	t.spread(t.self.Name, true)
}

// maxMembers bounds the members learned by rumour, so that a faulty peer cannot
// fill this VM's memory.
const maxMembers = 4096

// learn adds a VM by rumour. A dead one that is not remembered is not taken up:
// two VMs would otherwise remind each other of it for ever.
func (t *Table) learn(u Update, now time.Time) {
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
	t.spread(u.Name, true)
}

func (t *Table) mergeState(m *Member, u Update, now time.Time) {
	if u.Incarnation < m.Incarnation {
		return
	}
	if u.Incarnation > m.Incarnation {
		t.raise(m, Identity{
			Address: u.Address, DataCentre: u.DataCentre,
			Incarnation: u.Incarnation, Leaving: u.Leaving,
		}, now)
	}
	t.mergeSameIncarnation(m, u.State, now)
}

func (t *Table) mergeSameIncarnation(m *Member, rumoured State, now time.Time) {
	switch {
	case rumoured == Left && m.State != Left:
		t.setState(m, Left, now)
	case rumoured == Dead && m.State == Alive:
		// Only this VM's own timeout makes a VM dead here.
		t.setState(m, Suspected, now)
	case rumoured == Suspected && m.State == Alive:
		t.setState(m, Suspected, now)
	case rumoured == Alive && m.State != Alive:
		// The teller has yet to hear of it, and so perhaps has the VM itself, which
		// then could not refute: say it again.
		t.spread(m.Name, true)
	}
}
