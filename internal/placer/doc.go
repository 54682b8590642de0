// Package placer gives replicas the layers that package layers places on them.
//
// One VM at a time does this, under a lease. The replicas here do not check fencing
// numbers, an order may be carried out seconds after it was given up, and a holder
// that was frozen may wake and believe itself in office. So an order says which range
// is to be held and not what is to change, it carries the number of orders that the
// replica had taken when it was last asked, and what became of it is judged by what
// the replica reports. An order of an older holder then either finds the number
// changed and is refused, or asks for what a pure function of the same list of
// replicas gives anyway. The only standing harm of two holders is a load too many.
package placer
