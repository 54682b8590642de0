// Package peer connects the system's own VMs: it spreads configuration changes,
// keeps membership, and tells what each VM has in force and in flight.
//
// A change that was committed is pushed at once, to every VM in a small fleet
// and to a few random ones in a large fleet, which push it on. Whatever a push
// misses, anti-entropy repairs: each second a VM compares its version with a few
// random peers, and the older side gets the changes that it lacks, or a
// snapshot. Both work without the platform's store, so a change that one VM has
// read reaches all others though the store goes out right after the commit.
//
// Versions only go up. A push of what is in force already changes nothing, and
// messages of a VM's earlier life are dropped, however late they come.
//
// A connection can go silent for good while the peer is well. Each call has a
// deadline; a call that fails on a kept connection is made again on a new one,
// and only when that fails too is the peer itself in question. It is then probed
// through helpers before it is suspected (package membership). One silent peer
// costs one bounded call at a time, and nobody waits for it: InForce names it.
//
// A VM keeps connections to a bounded random view of the fleet, which is the
// whole fleet while that is small. So the cost of a VM does not grow with the
// fleet.
package peer
