// Package enginesim is a small stand-in for a model engine.
//
// An Engine holds a range of a model's layers and a number of slots, and serves
// the engine protocol over HTTP. Its accelerator is virtual: a stage of n layers
// passes LayerTokensPerSecond/n tokens a second over all its requests together,
// urgent requests first. Stages hand activations to each other through a Fabric
// in this process, which knows the latency and the bandwidth of each link.
//
// The text of the token at position p is "t<p> ", so that callers can check the
// order of what they get. A prompt piece "stop:<p>" makes the generation stop by
// itself after position p. Faults are ordered by methods or by POST /faults.
package enginesim
