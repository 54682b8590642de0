package lease

import "time"

// Held returns the lease of a duty while this VM may act under it.
func (m *Manager) Held(name string) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.duties {
		if d.name == name && m.viewStands(d) {
			return m.leaseOf(d), true
		}
	}
	return Lease{}, false
}

func (m *Manager) leaseOf(d *duty) Lease {
	return Lease{
		Duty:     d.name,
		Holder:   m.options.VM,
		Fencing:  d.tenure.fencing,
		Acquired: d.tenure.acquired,
		nonce:    d.tenure.nonce,
		manager:  m,
	}
}

func (m *Manager) viewStands(d *duty) bool {
	if d.tenure == nil || m.released {
		return false
	}
	now := read(m.options.Clock)
	if m.options.hooks.skipWallClock {
		return now.certainSince(d.tenure.renewed) < m.options.view()
	}
	return now.longestSince(d.tenure.renewed) < m.options.view()
}

func (m *Manager) check(l Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.duties {
		if d.name == l.Duty && m.viewStands(d) && d.tenure.nonce == l.nonce {
			return nil
		}
	}
	return &LostError{Duty: l.Duty, Fencing: l.Fencing}
}

// SinceAcquired returns how long this VM has known that it holds the lease, as the
// slower of its clocks has it.
func (l Lease) SinceAcquired() time.Duration {
	if l.manager == nil {
		return 0
	}
	return read(l.manager.options.Clock).certainSince(l.Acquired)
}

// TableUnavailable reports whether the table left this VM's last question without an answer, so
// that nobody it knows of can hold a lease for longer.
func (m *Manager) TableUnavailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readErr != nil
}
