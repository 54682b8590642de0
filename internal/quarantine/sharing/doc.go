// Package sharing makes what one VM learns of requests that crash replicas known to all.
//
// A change is offered to peers at once: to all VMs of a small fleet, else to the followers of the
// operator's tables. Every answer of a peer carries the revision of its ledger, so whoever was
// missed, or has just started, asks for the rest at its next question for any table, which each VM
// puts each second. While nothing is known of any request this costs nothing.
//
// Requests that are quarantined also stand in the product's table, where they outlive a loss of
// all VMs. Those that follow the operator's tables read them once after their start. Nothing here
// is needed for serving: without peers and store a VM goes by what it has seen itself.
package sharing
