// Package entry implements the process that runs on a VM and relays requests for an operator
// whose configuration, replica list and rows are in the platform's store.
//
// It connects the components and defines the order of start and stop. The process keeps no
// state of its own: after a start it reads the configuration and the replicas from the store
// or from peers, and only then takes requests. Stop makes it unready and releases its leases.
// It still takes requests until the load balancer has noticed, and then waits for the requests
// in progress, all within the grace time.
package entry
