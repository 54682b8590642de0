package balance

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"geraniumcroft/internal/config"
)

// subsetSize returns how many of a group's targets a VM uses: as many as leave it
// MinSlotsPerVM slots on each target if every VM takes its share, but at least MinSubset.
func subsetSize(members []*config.Target, peers int, s Settings) int {
	slots := 0
	for _, t := range members {
		slots += max(t.Slots, 1)
	}
	size := slots / (max(peers, 1) * s.MinSlotsPerVM)
	return min(max(size, s.MinSubset), len(members))
}

// subsetParts returns the number of parts into which a group is divided.
func subsetParts(members []*config.Target, peers int, s Settings) int {
	return max(len(members)/subsetSize(members, peers, s), 1)
}

// inSubset returns the names of the group's targets that the VM with the given index uses.
// The VMs are handled in rounds. In each round the targets are ranked by rendezvous hashing
// with the number of the round and divided into one part for each VM of the round. Each
// target is in exactly one part of each round, so all targets are used by the same number of
// VMs, give or take one. A target that is added or removed moves each boundary by one place
// and changes at most two targets of a VM.
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

// rank sorts the targets by their hash for a round.
func rank(members []*config.Target, round int) []*config.Target {
	prefix := strconv.Itoa(round) + "/"
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b *config.Target) int {
		return cmp.Compare(xxhash.Sum64String(prefix+a.Name), xxhash.Sum64String(prefix+b.Name))
	})
	return ranked
}
