// Package generation executes one generation over the stages of a plan, and
// continues it when stages fail.
//
// A run opens a stream to the engine of each stage, all at the same time, and reads
// tokens from the last stage. An epoch is one set of opened streams. A token is
// committed when the last stage sends it for the run's request, the current epoch and
// the next position. It is then passed to the sink, in order and once. A stage fails
// if it refuses to open, if its stream breaks or goes silent, if it reports an error,
// or if no token arrives in time. The run then closes all streams, asks the engines to
// keep their KV cache, increments the epoch, gets stages in place of the failed ones,
// and opens streams again with the tokens committed so far. The engines continue at
// the next position, with KV cache that they kept or import, or after replaying the
// prompt and the tokens. Events of an older epoch are dropped and counted.
//
// A silent stream does not prove that its engine failed: a firewall on the path may
// have dropped its connection state. The first time, the run opens the same stages
// again on new connections. An engine is excluded only if it fails again. When all
// engines that hold some layers are excluded, the exclusions are removed after a
// pause, because an engine that failed once may work again.
//
// A preemption is handled in the same way, without a failure: the streams are closed,
// the slots are released, and the run waits in admission for its next placement.
//
// A placement is released before the next one is requested. Otherwise two runs could
// deadlock, each holding its surviving stages while it waits for those of the other.
// The drawback is that another request may get the slot of a surviving stage.
//
// Continuing is not a second run, even if the request is not idempotent. Tokens are
// the only effect of a generation, the run holds all committed tokens, and the engines
// fence the old epoch under the same request id, so the caller gets each token of one
// response once. What must not happen is that something without the committed tokens
// starts the request from the beginning. So a run that cannot continue has the outcome
// not-run only if no engine can have started, and unknown otherwise, and it is never
// started again. Whether an engine can have started depends on the first stage alone,
// because the other stages get their input from it.
package generation
