// Package generation executes one generation over the stages of a plan and keeps
// it going when stages fail.
//
// A run opens a stream to the engine of each stage, all at once, and reads tokens
// from the last one. A token is committed when the last stage has answered for
// the run's request, its present epoch and the next position: then it goes to the
// sink, in order, once. An epoch is one set of opened streams. When a stage fails
// (it refuses, its stream breaks or goes silent, it reports an error, or no token
// comes in time), the run closes all streams, asks the engines to keep their KV
// cache, raises the epoch, gets stages in place of the failed ones and opens again
// with the tokens that are committed so far. Engines go on at the next position,
// from KV cache that they kept or import, or by replaying prompt and tokens.
// Whatever an older epoch still sends is dropped and counted.
//
// A stream that goes silent says nothing about its engine: a firewall on the
// way may have dropped its state of the connection. The first time, the run opens the
// same stages again on new connections; only an engine that fails again is
// excluded. When all holders of some layers are excluded, the exclusions are
// lifted after a pause, for a target that failed once may have come back.
//
// Preemption takes the same path without a failure: the streams are closed, the
// slots released, and the run waits in admission for its next placement.
//
// A placement is released before the next one is asked for. Two runs that each
// held their surviving stages while they waited for the other's would wait for
// ever; the price is that a survivor's slot may go to another request.
//
// Continuing is not a second run, also for a request that is not idempotent.
// Tokens are a generation's only effect, the run holds every token that was
// committed, and the engines fence the old epoch under the same request id, so
// the caller gets each token of one answer once. What must not happen is a start
// from nothing by somebody who does not hold the committed tokens; a run that
// cannot go on therefore ends as not-run only if no engine can have started, and
// as unknown otherwise, and it is never started again. Whether one can have started
// is up to the first stage: the others get their work from it.
package generation
