package census

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sortedBySize returns the VMs with the largest first, and VMs of equal size in the order of a
// hash of their names. Work that a few VMs do for all, such as answering peers and querying all
// replicas each second, then falls to those with the processor time and bandwidth for it: of 195
// VMs, 15 have four times the processor time and ten times the bandwidth of the others.
func sortedBySize(all []VM) []VM {
	vms := slices.Clone(all)
	slices.SortFunc(vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	return vms
}

// IsAmongLargest reports whether this VM is one of the n largest.
func (c *Census) IsAmongLargest(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rank < n
}

// includesSelf reports whether the list contains this VM.
func (c *Census) includesSelf(vms []VM) bool {
	return slices.ContainsFunc(vms, func(vm VM) bool { return vm.Name == c.own.Name })
}
