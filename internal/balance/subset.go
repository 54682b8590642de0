package balance

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/config"
)

// subsetSize is how many of a group's targets a VM uses: as many as leave it
// MinSlotsPerVM slots on each when every VM takes its share, at least MinSubset.
func subsetSize(members []*config.Target, peers int, s Settings) int {
	slots := 0
	for _, t := range members {
		slots += max(t.Slots, 1)
	}
	size := slots / (max(peers, 1) * s.MinSlotsPerVM)
	return min(max(size, s.MinSubset), len(members))
}

// inSubset returns the names of the group's targets that the VM with that index
// uses: the first by rendezvous hash, so that a target that comes or goes moves
// few others.
func inSubset(members []*config.Target, peers, index int, s Settings) map[string]bool {
	size := subsetSize(members, peers, s)
	ranked := slices.Clone(members)
	if size < len(members) {
		vm := strconv.Itoa(index)
		slices.SortFunc(ranked, func(a, b *config.Target) int {
			return cmp.Compare(rendezvous(vm, a.Name), rendezvous(vm, b.Name))
		})
	}
	chosen := make(map[string]bool, size)
	for _, t := range ranked[:size] {
		chosen[t.Name] = true
	}
	return chosen
}

func rendezvous(vm, name string) uint64 { return xxhash.Sum64String(vm + "/" + name) }
