// Package capacity estimates what a replica can carry, from the description of its engine,
// its card and its present work: the time of a decoding step, the time to the first event
// of a new prompt, how many streams keep the accepted pause, and how many prompt tokens
// may wait. The package has no state and uses neither network nor clock.
//
// The formulas follow the engine's description in docs/overload.md. A card that runs n of
// the model's L layers decodes one token of each of its streams in a step of
//
//	(StepBase + Streams x (StepPerSequence + MeanContext/1000 x StepPerContext))
//	  x StepTimeFactor x Slowdown x n/L
//
// and reads prompt tokens, at most Chunk in a step, in
//
//	tokens / PrefillTokensPerSecond x PrefillTimeFactor x Slowdown x n/L
//
// in addition to the step. A pass consists of Stride steps and ends with an event.
//
// Every result is finite and not negative. Times are rounded to the nanosecond and limited
// to MaxTime, so that sums over the stages of a path do not overflow. If Validate rejects
// the engine, or the card has no layers or a factor that is not a positive finite number,
// times are MaxTime and capacities 0: a replica without a usable description gets no work.
package capacity
