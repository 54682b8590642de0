// Package reach decides whether this VM reaches the replicas, and by which way a connection to one of
// them is tried first: directly or through a peer. It has no network and reads no clock; what happened
// is recorded with a Tracker and with Routes.
//
// A connection that cannot be opened shows that this VM and one replica do not reach each other, not
// which of the two is at fault. This VM is cut off if several replicas in a row were not reached, a
// round of probes of others reaches none either, and a peer reaches one of these. Without a peer that
// does, the VM goes on as if it were not cut off: there is no better way. A single replica that only
// peers reach is recorded in Routes.
package reach
