// Package dispatch sends calls to plain services: which attempts are made, when
// a call may be sent again, and what is true to say when no answer came.
//
// The dispatch boundary is one state change made before the first byte of a call
// can leave this VM. Before it, a failure proves that the call did not run, so
// another target may be tried and "not run" is true. After it, without a whole
// answer, a call that is not idempotent is unknown: it is never retried and never
// hedged, whatever the error looks like, because a connection reset says nothing
// about whether the service had begun.
//
// Idempotent calls are retried on another target, and urgent ones are hedged
// when the first attempt is slow. Both draw on a budget that is a share of fresh
// requests, so that retries cannot double an overload.
package dispatch
