package allocator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is a VM that may be the allocator of its data centre.
type VM struct {
	Name string
	// Address is the IP:port of the listener for peers.
	Address string
	Cores   float64
}

// Candidates returns the VMs of a data centre in the order in which they are its allocator: the largest
// ones first, and these by a hash. All VMs with the same list have the same order. A VM that joins or
// leaves changes the allocator only if it is the first one.
func Candidates(vms []VM) []VM {
	ordered := slices.Clone(vms)
	slices.SortFunc(ordered, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}
