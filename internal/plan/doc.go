// Package plan computes pipelines: which engines work on which layers of a model, and how often
// each such plan is used.
//
// Engines hold ranges of layers whose ends need not coincide, have different rates and are
// connected by links that differ by a factor of a hundred. A plan is a list of stages that covers
// layers 0 to L once and in order; a stage may use a part of what its engine holds. Compute gives
// weights to plans so that together they approach the most tokens per second that engines and
// links allow, and returns that bound.
//
// Compute runs when the configuration changes, outside the path of requests. A request takes its
// plan from a Chooser, which spreads requests by weight over what is free at the moment. When an
// engine dies, Repair keeps the remaining stages, because their KV cache stays valid, and finds
// engines only for the missing layers. If that fails, it computes a whole new plan.
//
// The package uses no clock and no network. The same seed gives the same choices.
package plan
