// Package dispatch sends calls to plain services. It decides which attempts are made, when a call may be
// sent again, and which outcome is reported if no response arrived.
//
// A SendGuard records that a call is sent before its first byte can leave this VM. A failure before that
// proves that the call did not run, so another target may be tried, and the outcome "not run" is true.
// After that, a call that is not idempotent and got no complete response has the outcome "unknown". It is
// never retried or hedged, whatever the error is: a connection reset, for example, does not show whether
// the service had begun to run the call.
//
// Idempotent calls are retried on another target, and urgent ones are hedged if the first attempt is slow.
// Retries and hedges use a common budget that is a share of the requests, so that they cannot double an
// overload.
package dispatch
