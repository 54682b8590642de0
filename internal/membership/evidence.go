package membership

import "time"

// RecordMessage records a message from the VM itself. It reports false if the message must be
// dropped, because it is from an earlier process of the VM or has this VM's own name.
func (t *Table) RecordMessage(id Identity, now time.Time) bool {
	if id.Name == "" || id.Name == t.self.Name {
		return false
	}
	m := t.members[id.Name]
	if m == nil {
		t.add(id, now)
		return true
	}
	if id.Incarnation.ProcessStart() < m.Incarnation.ProcessStart() {
		return false
	}
	m.LastMessage = now
	t.raiseIncarnation(m, id, now)
	t.raiseVersion(m, id.Incarnation, id.Version)
	return true
}

func (t *Table) add(id Identity, now time.Time) {
	t.members[id.Name] = &Member{
		Name:        id.Name,
		Address:     id.Address,
		DataCentre:  id.DataCentre,
		Incarnation: id.Incarnation,
		Leaving:     id.Leaving,
		Version:     id.Version,
		Since:       now,
		LastMessage: now,
	}
	t.queueRumour(id.Name, true)
}

// raiseIncarnation takes over a higher incarnation, which makes the member alive again.
func (t *Table) raiseIncarnation(m *Member, id Identity, now time.Time) {
	if id.Incarnation <= m.Incarnation {
		return
	}
	if id.Incarnation.ProcessStart() > m.Incarnation.ProcessStart() {
		m.Version = 0
	}
	m.Incarnation = id.Incarnation
	m.Address = id.Address
	m.DataCentre = id.DataCentre
	m.Leaving = id.Leaving
	t.setState(m, Alive, now)
}

// raiseVersion takes over a higher version. The version never falls within one process of the VM.
// A version of an earlier process is ignored, since the VM lost its state with the restart.
func (t *Table) raiseVersion(m *Member, incarnation Incarnation, version uint64) {
	if incarnation.ProcessStart() != m.Incarnation.ProcessStart() || version <= m.Version {
		return
	}
	m.Version = version
	t.queueRumour(m.Name, false)
}

// ProbeFailed records that a VM answered neither over an existing connection, nor over a new one,
// nor through helpers. The incarnation is the one that was probed; the failure is ignored if the
// member has a higher one by now.
func (t *Table) ProbeFailed(name string, incarnation Incarnation, now time.Time) {
	m := t.members[name]
	if m == nil || m.State != Alive || incarnation < m.Incarnation {
		return
	}
	t.setState(m, Suspected, now)
}

// Tick declares VMs dead whose suspicion has lasted for the timeout, and removes members that have
// been dead or have left for the retention time.
func (t *Table) Tick(now time.Time) {
	timeout := t.settings.suspicionTimeout(t.FleetSize())
	for name, m := range t.members {
		if m.State == Suspected && t.silence(m, now) >= timeout {
			t.setState(m, Dead, now)
		}
		if !m.MayServe() && now.Sub(m.Since) >= t.settings.Retention {
			delete(t.members, name)
			delete(t.rumours, name)
		}
	}
}

// silence returns the time since the suspicion began or, if that is later, since the last message.
// A VM that others cannot reach but that still sends messages to this one stays suspected.
func (t *Table) silence(m *Member, now time.Time) time.Duration {
	if m.LastMessage.After(m.Since) {
		return now.Sub(m.LastMessage)
	}
	return now.Sub(m.Since)
}
