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

// subsetParts is the number of parts that a group is cut into.
func subsetParts(members []*config.Target, peers int, s Settings) int {
	return max(len(members)/subsetSize(members, peers, s), 1)
}

// inSubset returns the names of the group's targets that the VM with that index
// uses. The VMs are taken in rounds. Within a round the targets are ranked by
// rendezvous hash with the round's number and cut into one part for each VM, so
// each target is in just one part of each round: all are used by the same number
// of VMs, give or take one. A target that comes or goes shifts the cuts by one
// place, so it changes two targets of a VM at most.
func inSubset(members []*config.Target, peers, index int, s Settings) map[string]bool {
	parts := subsetParts(members, peers, s)
	ranked := members
	if parts > 1 {
		ranked = rank(members, index/parts)
	}
	part := index % parts
	chosen := map[string]bool{}
	for _, t := range ranked[part*len(ranked)/parts : (part+1)*len(ranked)/parts] {
		chosen[t.Name] = true
	}
	return chosen
}

func rank(members []*config.Target, round int) []*config.Target {
	prefix := strconv.Itoa(round) + "/"
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b *config.Target) int {
		return cmp.Compare(xxhash.Sum64String(prefix+a.Name), xxhash.Sum64String(prefix+b.Name))
	})
	return ranked
}
