// Package overload decides which requests may use the last of a service's capacity when not all
// of them can be served.
//
// Requests compete by class: the rank of their priority among the priorities of the service's
// profiles, and whether they can still meet their objective. Each class may use the slots and the
// memory of a replica up to a limit of its own, so that capacity which is about to run out is left
// to the classes before it. The limits apply to what replicas report of all VMs' requests; the
// order of a queue, which each VM keeps for itself, would not be enough: of 81 VMs, nearly all
// have an empty queue at any time.
//
// The package decides only. It sends nothing, stores nothing and takes the time as an argument.
package overload
