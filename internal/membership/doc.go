// Package membership keeps one VM's view of the system's own VMs: which are
// alive, leaving, suspected, dead or gone.
//
// The Table is a pure state machine. It opens no connection and reads no clock:
// its owner tells it what was heard, what failed and what time it is, and asks
// it whom to probe and what to tell others. That is what lets tests drive it
// through years of failures in virtual time.
//
// A VM that dies is noticed like this. Each VM probes one other VM a period, in
// a shuffled round, so its cost does not depend on the size of the fleet. When a
// probe fails over a kept connection and over a new one and through a few helper
// VMs, the VM is suspected and the suspicion is gossiped. A suspected VM that
// lives hears of it, because everyone tells a VM what they think of it, and
// refutes it with a higher incarnation. One that does not is dead once the
// suspicion timeout has passed without a message from it.
//
// A rumour alone never kills: a VM that hears that another is dead suspects it
// and waits out its own timeout. So the two halves of a healed partition, each
// sure that the other is dead, meet as suspects that refute, not as corpses.
// Dead VMs are tried now and then for as long as they are remembered, otherwise
// the halves would never meet at all.
//
// The platform's list lags. It adds VMs to probe, and it never removes one that
// answers nor keeps one alive that does not.
package membership
