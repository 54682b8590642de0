// Package engine defines how the router communicates with model engines.
//
// A generation runs over one or more stages; each stage is one engine that processes a
// range of layers. The router opens a stream to the engine of each stage, and engines send
// activations to the next stage directly. The stream of the last stage carries tokens; the
// streams of the others carry only heartbeats and errors, so that the router detects the
// failure of a stage without a query to another one.
//
// Each error says what is known about the failure. An *OpenError says whether the request
// was sent and whether the engine was only busy. A *StreamError distinguishes a stream that
// broke from one that went silent; silence of a connection says nothing about the engine. An
// *OrderError is ambiguous if the order may have taken effect: the caller must then read the
// engine's State instead of repeating the order.
package engine
