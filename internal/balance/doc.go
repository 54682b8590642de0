// Package balance keeps this VM's view of the targets and chooses among them.
//
// Load reports are delayed and every VM sees only its own requests. The load of a target is
// therefore estimated as its last report, plus what this VM has sent since the time stamp of
// the report, plus what peers report to have sent since. Pick compares a few random targets
// by that estimate and takes a slot on the best one, so that VMs that use the same outdated
// report do not all choose the same target.
//
// Behaviour under failure: when reports stop, the trust in the last one falls with its age,
// and the estimate falls back to the counts of this VM and its peers. When the estimate is
// too low the engine answers busy, and ReportBusy corrects it. A target that fails or is
// slow several times in a row is ejected on this VM, up to a limit on the share of ejected
// targets, and is readmitted after a single probing request. A target that drains, leaves
// or is removed gets no new requests as soon as this VM learns of it, and keeps those that
// it has. On every target some slots are reserved for urgent requests, so that bulk requests
// cannot fill a target at any rate.
package balance
