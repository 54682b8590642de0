// Package peer connects the system's own VMs. It spreads configuration changes, maintains
// membership, and reports what each VM has in force and in flight.
//
// A committed change is pushed immediately: to every VM in a small fleet, and to a few random VMs
// in a large one, which forward it. Anti-entropy repairs what pushes miss: once a second, a VM
// compares its version with a few random peers, and the side that is behind gets the changes that
// it lacks, or a snapshot. Neither needs the platform's store, so a change that one VM has read
// reaches all others even if the store becomes unavailable right after the commit.
//
// Versions only rise. A push of what is already in force has no effect, and messages of an earlier
// process of a VM are dropped however late they arrive.
//
// A connection can become silent for good while the peer works. Each call has a deadline; a call
// that fails on a pooled connection is repeated on a new one, and only if that fails as well may
// the peer itself have failed. The peer is then probed through helpers before it is suspected (see
// package membership). A silent peer occupies one bounded call at a time, and nothing waits for it:
// InForce reports it as missing.
//
// A VM keeps connections to a random part of the fleet of bounded size, its view. A small fleet
// fits the view as a whole. The load on a VM therefore does not grow with the fleet.
package peer
