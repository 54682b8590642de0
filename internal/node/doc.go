// Package node puts one VM's process together: the parts, their order of start
// and their order of stop.
//
// Start: listeners first, so that peers and operators reach the process while it
// is not ready; then the configuration from the store or, while the store is out,
// from peers; only then is the VM ready. Stop: unready while still taking
// requests, so that the balancer learns first; then no new requests; then all in
// hand end by themselves; then leases go back and peers are told; then the
// listeners close. Nothing in hand is cut off by a stop.
package node
