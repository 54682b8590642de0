// Package loadgen is a load generator. It sends requests to routers as callers do,
// and checks and times the responses.
//
// The load is open-loop: arrivals form a Poisson process with a fixed seed, and each
// request is sent at its intended time whether or not earlier requests have been
// answered. Latency is measured from the intended time. A stall of the routers or of
// the load generator therefore adds to the latency of every request that was due
// during the stall, as it does for real callers. The delay of the load generator
// itself is reported separately.
//
// Every response is checked: it has exactly one outcome and belongs to the request
// that was sent. Where the text of a token contains the position of the token, as
// that of the stand-in engine does, the tokens have no gap and no repeat.
package loadgen
