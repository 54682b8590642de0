// Package node assembles the process of one VM: its parts, and the order in which they start and
// stop.
//
// Start opens the listeners first, so that peers and operators can reach the process before it is
// ready. Then it reads the configuration from the store or, while the store is unavailable, from
// peers. Only then is the VM ready.
//
// Stop makes the VM unready while it still takes requests, so that the balancer learns of the stop
// first. Then it refuses new requests, waits for those in progress, releases the leases, announces
// to peers that the VM leaves, and closes the listeners. A stop interrupts no request.
package node
