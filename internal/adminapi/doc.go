// Package adminapi serves the operators' HTTP API. It lists, reads and changes the
// configuration and shows the state of the process.
//
// Every request needs a bearer token. Reading an entity returns an ETag. A change
// must send that ETag in If-Match, or If-None-Match: * to create the entity; if the
// ETag is outdated, nothing is written and the response contains the present entity.
// The status of a change is "accepted" once it is in force on every VM that may
// serve. Until then it is "pending", and the response names the other VMs. If the
// table's response to the write was lost and the result could not be read back, the
// status is "pending" as well and the response says that the change may take effect;
// it can be looked up by its ID.
//
// The dump works while other parts of the process hang: it waits in no queue, and
// after Options.DumpTimeout the response contains the stacks of the process instead.
// Responses never contain secrets: key digests are replaced by their number.
package adminapi
