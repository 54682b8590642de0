package census

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Largest returns the first n VMs by size, and by a hash of their names among equals, which is
// the same on all VMs that have the same list.
func (c *Census) Largest(n int) []VM {
	vms := inOrder(c.VMs())
	return vms[:min(n, len(vms))]
}

// inOrder returns the VMs by size, the largest first, and in the order of a hash of their names
// among equals. What few VMs do for all others, answering their peers and asking all replicas
// each second, is thus done by those that have the processor time and the link for it: at 195
// VMs 15 have four times the time and ten times the link of the others.
func inOrder(all []VM) []VM {
	vms := slices.Clone(all)
	slices.SortFunc(vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	return vms
}

// IsAmongLargest reports whether this VM is one of the first n.
func (c *Census) IsAmongLargest(n int) bool { return c.isAmong(c.Largest(n)) }

func (c *Census) isAmong(vms []VM) bool {
	return slices.ContainsFunc(vms, func(vm VM) bool { return vm.Name == c.own.Name })
}
