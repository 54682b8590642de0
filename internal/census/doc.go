// Package census keeps the list of the VMs that relay requests: it gives the number by which
// shared budgets are divided, and the peers to ask when the store does not answer.
//
// Each VM rewrites its own row of the table at an interval. A VM whose row has not been rewritten
// for some intervals is no longer counted. Until then its share of a budget is unused, which is the
// safe side. Nothing depends on the list that would be wrong with a VM too many or too few, so
// the package needs neither synchronized clocks nor a failure detector.
//
// The list of a large fleet is read from the table by the VMs that follow the store's feed; the
// others copy it from peers (TableName). A starting VM reads only the rows of the largest VMs,
// which are the ones that it asks for the rest.
package census
