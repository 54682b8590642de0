// Package pushback keeps what replicas ask of those who send requests to them.
//
// A replica says so in its answers, and each answer that arrives goes to the Ledger as a Signal.
// What was said holds for one incarnation of the replica. The package has no network and no clock
// of its own.
package pushback
