// Package loadgen sends requests to routers as their callers would, and checks and
// times the answers.
//
// Arrivals are open-loop: each request has an intended time from a Poisson process,
// drawn beforehand from a fixed seed, and is sent then whether or not earlier ones
// were answered. Latency counts from the intended time, so a stall of the routers or
// of this tool makes every request that should have been sent meanwhile slow, as it
// would be for callers; how late the tool itself was is reported apart.
//
// Every answer is checked: exactly one outcome, an answer to the request that was
// sent, and no gap or repeat among the tokens where the engine's text carries the
// token's position, as the stand-in's does.
package loadgen
