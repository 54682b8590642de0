// Package router serves the requests of callers, from the lookup of the profile to the
// request's one outcome.
//
// The package is the only place that decides which outcome a caller gets. A request is
// looked up, claimed if it has an idempotency key and is not idempotent, admitted, placed
// on targets, run and ended. Ending is one step, in which the outcome of the request's
// registry entry is set. It violates an invariant to end a request twice, or to end it
// as "not run" after it was sent to a target.
//
// How a failure is handled depends on where it happens. A failure before dispatch is "not
// run" and costs the caller nothing, unless an earlier request with the same idempotency
// key may have run. After dispatch, a generation moves to other engines and continues at
// the next token, an idempotent call is sent to another target, and a call that is not
// idempotent ends at once as "unknown".
package router
