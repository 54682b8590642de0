// Package engine is the system's view of model engines.
//
// A generation runs over one or more stages; each stage is one engine working on
// a range of layers. The router opens a stream to the engine of each stage and
// engines send activations to the next stage directly. The stream of the last
// stage yields tokens; those of the others yield only heartbeats and errors, so
// the router learns which stage failed without asking another one.
//
// Each failure says what is known. An *OpenError says whether the request left this
// VM, and whether the engine was merely busy. A *StreamError tells a stream that
// broke from one that went silent, which says nothing about the engine. An
// *OrderError is ambiguous when the order may have taken effect: the engine's State
// is read back then, and the order is not repeated blindly.
package engine
