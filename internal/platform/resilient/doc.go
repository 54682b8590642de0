// Package resilient wraps the clients of the platform's services. It bounds the time and
// load that their failures cost, and resolves ambiguous errors where possible.
//
// A commit whose response was lost is resolved by reading its rows back. If a row has the
// transaction's ID, the transaction took effect. If none has and the conditions still
// hold, the same transaction is sent again: its conditions allow it to take effect at most
// once, whether the first copy is lost or only delayed. If the conditions no longer hold,
// either another writer was first or this transaction was overwritten. The transaction's
// Resolver determines which; without one the error stays ambiguous and includes the rows.
// This is correct only if rows never return to an earlier revision: a row that a
// transaction created must not be deleted while a copy of that transaction may still be
// in flight.
//
// Each VM uses its share of the fleet's budget of reads and writes. The budget is divided
// into two rate classes, so that operations that a caller waits for are not queued behind
// clean-up. After a few consecutive failures a circuit breaker opens: operations fail
// immediately with platform.ErrUnavailable, and only one prober sends requests until the
// service responds again, so that an outage costs callers no timeouts.
package resilient
