// Package engine is the system's view of model engines.
//
// A generation runs over one or more stages; each stage is one engine working on
// a range of layers. The router opens a stream to the engine of each stage and
// engines send activations to the next stage directly. The stream of the last
// stage yields tokens; those of the others yield only heartbeats and errors, so
// the router learns which stage failed without asking another one.
package engine
