// Package reach decides whether this VM reaches the replicas. It has no network and reads no clock; the
// results of connection attempts are recorded with a Tracker.
//
// A connection that cannot be opened shows that this VM and one replica do not reach each other, not
// which of the two is at fault. The evidence is therefore counted by replica: one that does not
// respond is probably down, several in a row without any other one that responds suggest that this VM
// is cut off.
package reach
