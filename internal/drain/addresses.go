package drain

import (
	"net/netip"

	"geraniumcroft/internal/platform"
)

// leavingAddresses returns the addresses whose newest entry is leaving. An address
// can be listed twice while it passes from a machine that went to a new one; the
// entry that the platform learned of last is the machine that has it now.
func leavingAddresses(vms []platform.VM) map[netip.Addr]bool {
	newest := map[netip.Addr]platform.VM{}
	for _, vm := range vms {
		address, err := netip.ParseAddr(vm.Address)
		if err != nil {
			continue
		}
		address = address.Unmap()
		known, listed := newest[address]
		if !listed || supersedes(vm, known) {
			newest[address] = vm
		}
	}
	leaving := map[netip.Addr]bool{}
	for address, vm := range newest {
		if vm.Leaving {
			leaving[address] = true
		}
	}
	return leaving
}

// supersedes: of two entries as old as each other the leaving one counts, as that
// error only costs a detour.
func supersedes(vm, known platform.VM) bool {
	if vm.Since.Equal(known.Since) {
		return vm.Leaving
	}
	return vm.Since.After(known.Since)
}
