// Package adminapi is the operators' HTTP API: it lists, reads and changes the
// configuration and shows what the process knows.
//
// Every request needs a bearer token. An entity is read with an ETag and changed
// only with that ETag in If-Match, or created with If-None-Match: *; an operator
// who has read an older revision gets the present entity and changes nothing.
// A change answers "accepted" once it is in force on every VM that may serve, and
// "pending" with the names of the others until then. When the table's answer to
// the write was lost and could not be read back, the answer is "pending" too and
// says so, for the change may take effect; its id can be looked up.
//
// The dump answers while everything else is stuck: it takes its turn behind no
// queue, and after a bound it answers with the stacks of the process instead.
// Answers never hold a secret: digests of keys are replaced by their count.
package adminapi
