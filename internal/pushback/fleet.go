package pushback

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/incarnation"
)

// VM is a VM that sends requests to the replicas.
type VM struct {
	Name       string
	DataCentre string
}

// Fleet is the set of VMs that share the replicas and their limits.
type Fleet struct {
	// Self is the name of this VM.
	Self string
	// Known reports whether this VM knows the other VMs and they know this one. VMs is ignored until
	// then.
	Known bool
	// VMs holds the VMs that share the replicas.
	VMs []VM
}

// rank returns the position of this VM in the order in which VMs get a quota of a replica's limit: VMs of
// the replica's data centre first, then by a hash that differs between replicas. A VM that is not in
// f.VMs ranks last.
func (f Fleet) rank(replica incarnation.Key, dataCentre string) int {
	prefix := replica.String() + "/"
	order := slices.Clone(f.VMs)
	slices.SortFunc(order, func(a, b VM) int {
		switch near, other := a.DataCentre == dataCentre, b.DataCentre == dataCentre; {
		case near && !other:
			return -1
		case other && !near:
			return 1
		}
		return cmp.Compare(xxhash.Sum64String(prefix+a.Name), xxhash.Sum64String(prefix+b.Name))
	})
	at := slices.IndexFunc(order, func(vm VM) bool { return vm.Name == f.Self })
	if at < 0 {
		return len(order)
	}
	return at
}
