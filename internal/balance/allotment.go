package balance

import "geraniumcroft/internal/config"

// allotment is this VM's part of one target.
type allotment struct {
	// headroom is how many slots each urgency leaves free.
	headroom [config.UrgencyCount]int
	// shared says that the VMs that share the targets are known. Until then this VM
	// has no share of its own and takes what others leave.
	shared bool
	// sharers is the number of VMs that have the target in their subset, turn this
	// VM's place among them, and place the target's in its group.
	sharers int
	turn    int
	place   int
	// outside says that the target is not in this VM's subset.
	outside bool
}

// share is this VM's part of the open slots of the target. What cannot be divided
// goes to as many VMs, and from target to target the next ones, by the same rule
// on each VM. So the shares of all add up to the open slots and never to more, and
// VMs that keep to their shares leave the slots free that are for urgent requests.
func (a allotment) share(open int) int {
	if !a.shared {
		return 0
	}
	whole, rest := open/a.sharers, open%a.sharers
	first := a.place * rest % a.sharers
	if (a.turn%a.sharers-first+a.sharers)%a.sharers < rest {
		whole++
	}
	return whole
}
