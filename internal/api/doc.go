// Package api serves the callers' HTTP API.
//
// Existing OpenAI clients work unchanged: the model that they name is a profile.
// Plain services are called below /v1/profiles. Every response carries the request
// ID and the outcome of the request.
//
// A caller must always learn whether its request ran. A refusal is a 4xx or 5xx
// response with a problem body that states it. The status of a stream is sent with
// its first token, so that a refusal before that has its own status.
// If the first token is slow, the stream opens after Options.StreamHeadWait and
// carries comments, so that the caller can distinguish a slow stream from a dead
// connection. A stream ends with an event that names the outcome; a stream that
// ends without one is incomplete.
//
// Invalid requests are refused before they reach the router and are therefore
// always not-run. If the caller disconnects, or does not read for longer than
// Options.WriteTimeout, the request's context is cancelled, and with it the streams
// of the engines.
package api
