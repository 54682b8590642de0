// Package claim makes a request with an idempotency key run at most once, on
// whichever VMs its copies arrive.
//
// Before a VM dispatches a request that carries an idempotency key, it writes a
// claim row for the key, on the condition that no such row exists. One VM succeeds
// and owns the key. It writes an end row when the request has ended: complete, with
// the answer if it is small enough, unknown, or not-run (a tombstone). Both rows are
// written once and never changed. A row that another transaction wrote therefore
// proves that this VM's own write was refused, even if the response to that write
// was lost.
//
// A VM whose claim is refused reads how the owner's request ended. It replays a kept
// answer, refuses the request as not-run after a tombstone or if the request's body
// differs, and returns unknown in all other cases: while the owner still runs the
// request, after the owner crashed without an end row, and when the table can't be
// read, since an earlier attempt may have run. A VM that can't determine within its
// timeout whether its claim was written returns unknown and never dispatches. A write
// that is applied late can therefore leave the key unknown, but it never causes a run.
//
// The caller receives not-run only after the tombstone is written. From then on a
// late copy of the request finds the key spent on any VM. The rows are kept for at
// least the retention, which is never below the longest deadline. Then the holder of
// a lease sweeps them.
//
// The key itself is not stored, only the SHA-256 over the workspace name, the profile
// name and the key.
package claim
