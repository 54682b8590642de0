package pushback

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/incarnation"
)

// VM is one of those that share the replicas.
type VM struct {
	Name       string
	DataCentre string
}

// Fleet is all VMs that share the replicas.
type Fleet struct {
	// Self is this VM's name.
	Self string
	// Known says that the others were counted, and count this VM; until then VMs is of no use.
	Known bool
	VMs   []VM
}

// rank returns this VM's place among those that may send to a limited replica: VMs of the replica's
// data centre first, in an order of the replica's own. A VM that is not listed has the last place.
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
