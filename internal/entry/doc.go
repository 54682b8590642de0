// Package entry is one process of a VM that relays requests for an operator whose
// configuration, list of replicas and rows lie in the platform's store.
//
// It puts the parts together and decides the order of start and stop. The process
// keeps nothing: after a start it reads the configuration and the replicas from the
// store or from peers, and only then takes requests. A stop makes it unready first,
// then waits for what it has in hand.
package entry
