// Package placer orders replicas to hold the layers that package layers assigns to them.
//
// One VM at a time does this, under a lease. The replicas do not check fencing numbers, an order
// may be carried out seconds after its sender gave it up, and a holder whose VM was paused may
// resume and act as if it still held the lease. An order therefore states the range to hold, not
// a change, and carries the number of orders that the replica had begun when it was last asked.
// What became of an order is decided only by what the replica reports. An order of an earlier
// holder is then either refused, because that number has changed, or asks for what a pure
// function of the same list of replicas yields anyway. The only lasting harm of two holders is an
// unneeded load.
package placer
