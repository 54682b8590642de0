package membership

import (
	"time"

	"geraniumcroft/internal/platform"
)

// RoleEntry is the role of the system's own VMs in the platform's list.
const RoleEntry = "entry"

// UpdateListed takes over the platform's list. The list lags behind, so it can only add VMs to
// probe, including VMs that were dead and forgotten and reappear under a new address.
func (t *Table) UpdateListed(vms []platform.VM, now time.Time) {
	for _, m := range t.members {
		m.Listed, m.ListedLeaving = false, false
	}
	for _, vm := range vms {
		t.applyListed(vm, now)
	}
}

func (t *Table) applyListed(vm platform.VM, now time.Time) {
	if vm.Role != RoleEntry || vm.Name == t.self.Name || vm.PeerAddress == "" {
		return
	}
	m := t.members[vm.Name]
	if m == nil {
		m = &Member{Name: vm.Name, Address: vm.PeerAddress, DataCentre: vm.DataCentre, Since: now}
		t.members[vm.Name] = m
	}
	m.Listed, m.ListedLeaving = true, vm.Leaving
	if m.LastMessage.IsZero() || !m.MayServe() {
		m.Address, m.DataCentre = vm.PeerAddress, vm.DataCentre
	}
}
