// Package overload decides which requests may use the last of a service's capacity when not all
// of them can be served.
//
// Requests compete by class: the rank of their priority among the priorities of the service's
// profiles, and whether they can still meet their objective. Each class may use the slots and the
// memory of a replica up to a limit of its own, so that capacity which is about to run out is left
// to the classes before it. The order of a queue alone would not be enough: requests of all
// priorities start from an empty queue until nothing is left.
//
// The package decides only. It sends nothing, stores nothing and takes the time as an argument.
package overload
