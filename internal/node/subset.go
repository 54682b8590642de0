package node

import "geraniumcroft/internal/membership"

// shareOut divides the table's budget and the targets' slots by the VMs that take
// new requests. It goes by the membership also while the platform's list is out: a
// VM that dies meanwhile would hold its share for nothing. Without shares each VM
// takes what the others left when it last heard of them: under overload all of them
// do so at once, targets get more than their slots, and urgent calls wait in the
// targets' own queues behind bulk.
func (n *Node) shareOut() {
	count, index := placeInFleet(n.settings.VM.Name, n.peers.Members())
	n.platform.SetVMs(count)
	n.balancer.SetSubset(count, index)
}

// placeInFleet counts the VMs that take new requests, this one included whatever
// is said of it, and returns its place among them in order of name. All VMs that
// know the same members come to the same order.
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
