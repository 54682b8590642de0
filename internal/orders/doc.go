// Package orders makes engines hold what the configuration says they hold.
//
// The VM that holds the lease of the duty "orders" reads back the state of each engine and
// compares it with the target's entry. Where they differ, it has the target drained and sends one
// declarative order. It reads back until they match; it never assumes that an order took effect.
//
// The package handles these failures:
//
// The answer to an order is lost. The engine is read back first. Only when the order can no longer
// take effect and had none is the same order sent again with the same ID. A new order at once
// would load the weights twice from a store that is rate-limited.
//
// The holder is paused and another VM takes over. Each order passes Lease.Check directly before it
// is sent, and the engine refuses an old fencing number. An engine that matches its entry must
// know the new number as well, so a new holder sends it the order that it already satisfies. An
// engine that ignores fencing numbers gets no order from a new holder before the longest time has
// passed in which an order of the old holder can still take effect. If one arrives even later,
// reading back finds the difference and repairs it.
//
// A reload while requests are running would abort them. An engine that holds anything is first
// drained on every VM, and must then report that it has no requests.
package orders
