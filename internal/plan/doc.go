// Package plan lays out pipelines: which engines work on which layers of a
// model, and how often each layout is used.
//
// Engines hold ranges of layers that need not line up, run at different rates
// and are joined by links that differ a hundredfold. A plan is one list of
// stages that covers layers 0 to L once and in order; a stage may use a part of
// what its engine holds. Compute weighs plans so that together they approach the
// most tokens a second that the engines and links allow, and gives that bound.
//
// Compute runs when the configuration changes, off the path of requests. A
// request takes its plan from a Chooser, which spreads requests by weight over
// whatever is free at the moment. When an engine dies, Repair keeps the stages
// that still stand, because their KV cache remains valid, and finds engines for
// the missing layers alone; only if that fails does it lay out a whole new plan.
// Everything here is pure: no clock, no network, and the same seed gives the
// same choices.
package plan
