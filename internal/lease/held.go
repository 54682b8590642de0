package lease

import "time"

// Held returns the lease of a duty if this VM may act under it now.
func (m *Manager) Held(name string) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.duties {
		if d.name == name && m.viewValid(d) {
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

func (m *Manager) viewValid(d *duty) bool {
	if d.tenure == nil || m.released {
		return false
	}
	now := readClock(m.options.Clock)
	if m.options.hooks.skipWallClock {
		return now.minElapsedSince(d.tenure.renewed) < m.options.viewDuration()
	}
	return now.maxElapsedSince(d.tenure.renewed) < m.options.viewDuration()
}

func (m *Manager) check(l Lease) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.duties {
		if d.name == l.Duty && m.viewValid(d) && d.tenure.nonce == l.nonce {
			return nil
		}
	}
	return &LostError{Duty: l.Duty, Fencing: l.Fencing}
}

// SinceAcquired returns how long this VM has known that it holds the lease, on its monotonic
// clock. It returns 0 for the zero Lease.
func (l Lease) SinceAcquired() time.Duration {
	if l.manager == nil {
		return 0
	}
	return readClock(l.manager.options.Clock).minElapsedSince(l.Acquired)
}

// TableUnavailable reports whether the last read of the table failed. No holder that this VM knows
// of can then extend its lease.
func (m *Manager) TableUnavailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readErr != nil
}
