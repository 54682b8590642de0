// Package accounted counts the calls that reach the platform's store, by their purpose.
//
// Every call costs the operator, and the store serves a bounded number of them each second for
// the whole fleet. A total alone does not say which part of the program makes them: an outage
// in which all VMs retry, a list that each reads and a lease that too many contend for look the
// same. The wrapper lies next to the store's client, so it counts what is sent and not what
// is refused before, for want of budget or behind an open circuit.
package accounted
