// Package sharing distributes the pushback signals of replicas to all VMs.
//
// A VM that receives a changed signal offers it to the VMs from which the others fetch, and offers limits
// that stay in force again at intervals. All other VMs receive the signals attached to the load reports.
// While no notices arrive, for instance because VMs cannot reach each other, each VM applies the signals
// that it receives itself.
package sharing
