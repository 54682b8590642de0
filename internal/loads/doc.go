// Package loads shares what replicas report of themselves among the VMs.
//
// A VM knows the requests that it has sent itself, and without more could fill only
// its even share of each replica: where a zone loses replicas, its VMs would refuse
// requests that the replicas of other zones have room for. Asking every replica from
// every VM would cost more calls than requests. So the holder of the placement, which
// has to know the replicas anyway, asks each one a second, and the others copy the
// board of answers from peers, as they copy the operator's tables.
//
// A large fleet asks a few VMs only. The holder need not be one of them, so it offers
// each new board to some of those.
//
// A replica that does not answer twice in a row stands on the board as down: all VMs
// avoid it and the placement gives its layers to others, seconds before discovery drops
// it. While the store is away the last holder goes on.
//
// The board is a hint and may be seconds old or missing: after its holder died there is
// none for the time of a lease. The choice of paths then falls back on even shares.
package loads
