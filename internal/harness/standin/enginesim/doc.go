// Package enginesim simulates a model engine.
//
// An Engine holds a range of a model's layers and a number of slots, and serves the
// engine protocol over HTTP. Its accelerator is virtual: a stage of n layers
// processes LayerTokensPerSecond/n tokens per second over all its requests together,
// urgent requests first. Stages pass activations to each other through a Fabric in
// this process, which models the latency and the bandwidth of each link.
//
// The text of the token at position p is "t<p> ", so that callers can check the
// order of tokens. A prompt piece "stop:<p>" makes the generation stop by itself
// after position p. Faults are injected by methods or by POST /faults.
package enginesim
