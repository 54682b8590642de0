package drain

import (
	"net/netip"

	"geraniumcroft/internal/platform"
)

// leavingAddresses returns the addresses whose newest entry is leaving. An address can be listed
// twice while it passes from a machine that is gone to a new one. The entry that the platform
// learned of last belongs to the machine that has the address now. Entries whose address cannot be
// parsed are ignored.
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

// supersedes reports whether vm replaces known as the entry of an address. If both are equally old,
// the leaving one counts, since that error only makes work go to another target.
func supersedes(vm, known platform.VM) bool {
	if vm.Since.Equal(known.Since) {
		return vm.Leaving
	}
	return vm.Since.After(known.Since)
}
