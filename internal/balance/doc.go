// Package balance keeps this VM's view of the targets and chooses among them.
//
// Load reports lag and every VM sees only its own requests, so the load of a
// target is estimated as its last report, plus what this VM has sent since the
// report's time stamp, plus what peers say they have sent since. Pick compares a
// few random targets by that estimate and takes a slot on the best, so that VMs
// that act on the same stale report do not all choose the same target.
//
// What happens under failure: when reports stop, trust in the last one falls
// with its age and the view falls back on this VM's own and the peers' counts.
// When the estimate is too low the engine answers busy, and Busy corrects it.
// A target that fails or is slow several times in a row is ejected on this VM,
// within a bound on the share of ejected targets, and comes back through one
// probing request. A target that drains, leaves or was removed takes no new
// work from the moment that this VM learns of it; what it has in hand stays.
// On every target some slots are kept for urgent requests, so that bulk at any
// rate cannot fill a target.
package balance
