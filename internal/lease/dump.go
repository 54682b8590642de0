package lease

import "time"

// Dump is the state of a Manager.
type Dump struct {
	VM         string     `json:"vm"`
	TTL        string     `json:"ttl"`
	ReadError  string     `json:"readError,omitempty"`
	WriteError string     `json:"writeError,omitempty"`
	Leases     []DutyDump `json:"leases"`
}

// DutyDump is what this VM knows about one lease.
type DutyDump struct {
	Duty     string `json:"duty"`
	Holder   string `json:"holder"`
	Fencing  uint64 `json:"fencing"`
	Revision uint64 `json:"revision"`
	// Held says that this VM may act under the lease; ViewLeft is for how long.
	Held     bool   `json:"held"`
	ViewLeft string `json:"viewLeft,omitempty"`
	// Unchanged is how long this VM has observed the revision.
	Unchanged string `json:"unchanged,omitempty"`
	// Unconfirmed counts the writes whose effect has not been read back.
	Unconfirmed int `json:"unconfirmed"`
}

// Dump returns the manager's state as a Dump.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	dump := Dump{VM: m.options.VM, TTL: m.options.TTL.String()}
	dump.ReadError = errText(m.readErr)
	dump.WriteError = errText(m.writeErr)
	now := readClock(m.options.Clock)
	for _, d := range m.duties {
		dump.Leases = append(dump.Leases, m.dumpDuty(d, now))
	}
	return dump
}

func (m *Manager) dumpDuty(d *duty, now Reading) DutyDump {
	dump := DutyDump{
		Duty:        d.name,
		Holder:      d.record.Holder,
		Fencing:     d.record.Fencing,
		Revision:    d.version.Revision,
		Held:        m.viewValid(d),
		Unconfirmed: len(d.attempts),
	}
	if d.known {
		dump.Unchanged = now.minElapsedSince(d.firstSeen).Round(time.Millisecond).String()
	}
	if dump.Held {
		left := m.options.viewDuration() - now.maxElapsedSince(d.tenure.renewed)
		dump.ViewLeft = left.Round(time.Millisecond).String()
	}
	return dump
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
