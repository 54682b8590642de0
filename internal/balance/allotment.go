package balance

import "geraniumcroft/internal/config"

// allotment is this VM's part of one target.
type allotment struct {
	// headroom is how many slots requests of each urgency must leave free.
	headroom [config.UrgencyCount]int
	// sharersKnown means that the number of VMs that share the targets is known. Until then
	// this VM has no share of its own and uses only what others leave free.
	sharersKnown bool
	// sharers is the number of VMs that have the target in their subset, sharerIndex is this
	// VM's index among them, and targetIndex is the target's index in its group.
	sharers     int
	sharerIndex int
	targetIndex int
	// outsideSubset means that the target is not in this VM's subset.
	outsideSubset bool
}

// share returns this VM's part of the open slots of the target. Each slot of the remainder
// goes to another VM. The first of these VMs depends on the target, and the rule is the same
// on every VM. The shares of all VMs therefore add up to the open slots exactly, and VMs that
// keep to their shares leave the slots for urgent requests free.
func (a allotment) share(open int) int {
	if !a.sharersKnown {
		return 0
	}
	whole, rest := open/a.sharers, open%a.sharers
	first := a.targetIndex * rest % a.sharers
	if (a.sharerIndex%a.sharers-first+a.sharers)%a.sharers < rest {
		whole++
	}
	return whole
}
