// Package feedsim simulates the platform's tables that others write, with their change feed, in memory
// and in virtual time.
//
// A Store can be put back to an older copy: it gives out revisions again then and raises its era, as
// the platform's store does. Each VM calls it through a Client of its own, which may be turned away or
// cut off.
package feedsim
