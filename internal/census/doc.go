// Package census knows which VMs relay requests: how many share what is shared, and
// whom to ask when the store does not answer.
//
// Each VM rewrites a row of its own at an interval. A VM whose row has not changed for
// a while is not counted any more; until then its share of a budget lies idle, which
// is the safe side. Nothing is decided by it that would be wrong with a VM too many or
// too few, so it needs neither clocks that agree nor a failure detector.
package census
