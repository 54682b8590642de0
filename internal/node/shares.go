package node

import "geraniumcroft/internal/membership"

// updateShares divides the table's budget and the targets' slots by the number of VMs that take new
// requests. It uses the membership even while the platform's list is unavailable: otherwise a VM
// that dies in the meantime would keep a share that no VM uses.
//
// Without shares, each VM would use the slots that the others had left free when they last
// reported. Under overload all VMs would do so at once, targets would get more requests than they
// have slots, and urgent calls would wait behind bulk calls in the targets' own queues.
func (n *Node) updateShares() {
	count, index := placeInFleet(n.settings.VM.Name, n.peers.Members())
	n.platform.SetVMs(count)
	n.balancer.SetSubset(count, index)
}

// placeInFleet counts the VMs that take new requests, always including this VM whatever its state,
// and returns its index among them in order of name. All VMs that know the same members compute the
// same order.
func placeInFleet(self string, members []membership.Member) (count, index int) {
	for i := range members {
		m := &members[i]
		if m.Name == self {
			index = count
		} else if !m.MayServe() || m.Leaving {
			continue
		}
		count++
	}
	return count, index
}
