// Package resilient wraps the platform's services so that their failures stay
// bounded and every error is definite where it can be.
//
// A commit whose answer was lost is resolved by reading its rows back. If a row
// carries the transaction's ID it took effect. If none does and the conditions
// still hold, the same transaction is sent again: its conditions let it take effect
// at most once, whether the first copy is lost or merely late. If the conditions no
// longer hold, another writer was first, or this transaction was overwritten; the
// transaction's Resolver tells, and without one the error stays ambiguous, with the
// rows. That argument needs rows that do not return to an earlier revision: a row
// that is created by a transaction must not be deleted while a copy of that
// transaction can still be under way.
//
// Each VM draws on its share of the fleet's budget of reads and writes, in two
// lanes, so that what a caller waits for is not behind clean-up. After a few
// failures in a row a service is not asked any more: operations fail at once with
// platform.ErrUnavailable, and one prober asks until it answers again, so that an
// outage costs no caller a timeout.
package resilient
