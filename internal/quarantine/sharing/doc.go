// Package sharing synchronizes the quarantine ledgers of all VMs.
//
// A VM offers each change to its peers at once: to all VMs of a small fleet, else to the followers of
// the operator's tables. The answers of a peer carry the revision of its ledger, so a VM that missed
// an offer or has just started fetches the missing reports with its next request for any table, which
// each VM sends once a second. While no ledger has a record, the package causes no traffic.
//
// Quarantined requests are also stored in the platform's table, so that they survive a loss of all
// VMs. The followers of the operator's tables read them once after they start. Serving requests does
// not depend on this package: without peers and store, a VM uses the crashes it has seen itself.
package sharing
