// Package incarnation distinguishes the incarnations of a replica.
//
// A replica that restarts may keep its id, but it has lost its former state. What is known about
// the earlier incarnation (its layers, its load, its failures, its requests in flight) must not be
// applied to the next one, so it is stored by Key and not by id. Entries, reports and the load
// snapshots of peers arrive in any order, and some arrive late: the last write of a replica may take
// effect seconds after its death and overwrite the entry of its successor. A Tracker knows the newest
// incarnation of each id and reports whether a report is from an earlier one.
//
// If ids were used in place of incarnations, a VM would send requests to layers that were lost
// with the restart, avoid a healthy replica because of the failures of its predecessor, and wait
// for loads that no replica carries out.
package incarnation
