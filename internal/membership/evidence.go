package membership

import "time"

// RecordMessage records a message from a VM itself. It reports false for a message that
// must be dropped: one of an earlier life of the VM, or of this VM's own name.
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
	t.raise(m, id, now)
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
	t.spread(id.Name, true)
}

// raise takes a higher incarnation, which makes the member alive again.
func (t *Table) raise(m *Member, id Identity, now time.Time) {
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

// raiseVersion never lets a version fall within one life. What an earlier life
// had in force says nothing: the VM came back empty.
func (t *Table) raiseVersion(m *Member, incarnation Incarnation, version uint64) {
	if incarnation.ProcessStart() != m.Incarnation.ProcessStart() || version <= m.Version {
		return
	}
	m.Version = version
	t.spread(m.Name, false)
}

// ProbeFailed records that a VM answered neither over a kept connection, nor
// over a new one, nor through helpers. The incarnation is the one that was
// probed; a higher one by now makes the failure old news.
func (t *Table) ProbeFailed(name string, incarnation Incarnation, now time.Time) {
	m := t.members[name]
	if m == nil || m.State != Alive || incarnation < m.Incarnation {
		return
	}
	t.setState(m, Suspected, now)
}

// Tick turns suspicions that have lasted the timeout into deaths and forgets
// members that were dead or gone for the retention.
func (t *Table) Tick(now time.Time) {
	timeout := t.settings.suspicion(t.FleetSize())
	for name, m := range t.members {
		if m.State == Suspected && t.silentFor(m, now) >= timeout {
			t.setState(m, Dead, now)
		}
		if !m.MayServe() && now.Sub(m.Since) >= t.settings.Retention {
			delete(t.members, name)
			delete(t.rumours, name)
		}
	}
}

// silentFor is the time since the suspicion or, when later, the last message. A
// VM that others cannot reach but that still talks to this one stays suspected.
func (t *Table) silentFor(m *Member, now time.Time) time.Duration {
	if m.LastMessage.After(m.Since) {
		return now.Sub(m.LastMessage)
	}
	return now.Sub(m.Since)
}
