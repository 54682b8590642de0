// Package baseline is a small router to compare with: what a plain proxy with a
// list of targets does. It takes targets by turns, queues first come first served
// for a target's slots, has no priorities, refuses nothing early, repeats each
// failed request once on another target, also one that may have run, and gives a
// stream up when a stage fails after its first token.
//
// It uses the same clients of engines and services as the product and speaks the
// same callers' API, so that what differs in a comparison is the routing alone.
package baseline
