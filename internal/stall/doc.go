// Package stall decides which stages of a path have stopped when a stream on that path stalls. It
// does no I/O and reads no clock.
//
// A stage that fails silently stalls every stream that passes through it. The path's first replica
// reports such a stage, but the report lags by as much as the pause that callers notice. What this
// VM observes itself is available sooner: Suspects excludes the stages that other streams have
// passed since, the remaining stages are probed with a connection attempt, and StoppedStages
// evaluates the results.
//
// A false positive costs a move of the stream to other replicas, never the response. A full accept
// queue, packet loss and a data centre that is cut off all look like a stage that does not respond,
// so a timed-out probe counts only if other stages of the same data centre do respond. A slow path
// has not stopped: TimeoutsFor adapts to the gaps between the stream's own events, up to a bound,
// and ProbeBudget bounds the cost of the probes.
package stall
