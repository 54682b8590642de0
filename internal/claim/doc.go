// Package claim makes a keyed request run at most once, whichever VMs it reaches.
//
// Before a VM dispatches a request that carries an idempotency key, it writes a
// claim row for the key, on the condition that there is none. One VM wins; it
// writes an end row once the request has ended: complete, with the answer if it is
// small, unknown, or not-run (a tombstone). Both rows are written once and never
// changed, so a row that another transaction wrote proves that this VM's own write
// was refused, whatever became of its answer.
//
// A VM that loses reads how the winner's request ended. It replays a kept answer,
// refuses not-run after a tombstone, and says unknown in all other cases: while the
// owner still works, after the owner died without an end row, and when the table
// cannot be read, for an earlier attempt may have run. A VM that cannot learn
// within its bound whether its claim was written says unknown and never dispatches,
// so a write that lands late can at worst leave the key unknown, never run it.
//
// The caller is told not-run only after the tombstone is written: from then on a
// late copy of the request, at any VM, finds the key spent. The rows are kept for
// at least the retention, which is never below the longest deadline, and then swept
// by the holder of a lease.
//
// The key itself is not stored, only its SHA-256 together with its workspace's and
// profile's names.
package claim
