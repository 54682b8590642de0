// Package accounted counts the calls that reach the platform's store, by their purpose.
//
// Every call has a cost for the operator, and the store serves a limited number of calls per
// second for the whole fleet. A total does not show which part of the program makes the calls:
// an outage in which all VMs retry, a list that every VM reads and a lease that too many VMs
// contend for look the same. The wrapper is placed directly around the store's client. It
// therefore counts the calls that are sent, not those that fail earlier for lack of rate
// budget or because of an open circuit.
package accounted
