// Package orders brings engines to hold what the configuration says they hold.
//
// The VM that holds the lease of the duty "orders" reads each engine's state back,
// compares it with the target's entry and, where they differ, has the target
// drained and sends one declarative order. It reads back until they agree; it
// never assumes that an order took effect.
//
// What goes wrong, and what happens then. The answer to an order is lost: the
// engine is read back first, and only when the order can no longer be under way
// and had no effect is the same order, with the same ID, sent again; sending anew
// would load the weights twice from a store that is rate-limited. The holder is
// paused and another VM takes over: each order passes Lease.Check directly before
// it is sent, and the engine refuses an old fencing number. So that an engine
// which already agrees knows the new number as well, a new holder sends it the
// order that it already satisfies. An engine that ignores fencing numbers gets no
// order from a new holder before the longest time that an old one can be under
// way has passed; if one still arrives later, reading back finds and repairs it.
// A reload with work in hand would cut that work off: an engine that holds
// anything is drained on every VM first, and must then report that nothing is in
// hand.
package orders
