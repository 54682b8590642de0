// Package router takes a request from its profile's name to its one outcome.
//
// The package is the only place that decides what a caller is told. A request is
// looked up, claimed if it carries a key and is not idempotent, admitted,
// placed on targets, run, and ended. Ending is one step: the entry of the request
// in the registry of requests in hand is closed with its outcome, and a second
// end, or "not run" for a request whose dispatch boundary was crossed, is a
// violation of an invariant.
//
// What fails on the way is told apart by where it happened. Before dispatch
// everything is "not run" and costs the caller nothing. After dispatch a
// generation moves to other engines and goes on at the next token, an idempotent
// call goes to another target, and a call that is not idempotent ends as
// "unknown" at once.
package router
