// Package quarantine recognizes requests that crash the replicas that run them, also known as
// queries of death, and keeps them from being sent again.
//
// A Ledger keeps, by Digest, the replicas that ended under a request while its run there was
// young. A request under which Settings.CrashThreshold different replicas have ended is quarantined: it
// is refused until nobody has asked for it for Settings.QuarantineTTL, or an operator lifts it. Most
// requests that a replica takes with it are innocent. What tells them apart:
//
//   - A run that has brought events for Settings.CrashWindow, or a whole answer, shows that the
//     request does not crash what runs it: all that was held against it is forgiven.
//   - An end counts once for each incarnation of a replica, whoever sees it and however often.
//
// VMs exchange what they know as Reports, which merge in any order and any number of times: ends
// are only added, and forgiven. Their times count from an epoch of which the age is sent, as VMs'
// clocks differ. The package has no network and no clock of its own.
package quarantine
