// Package api is the callers' API over HTTP.
//
// Existing OpenAI clients work unchanged: the model that they name is a profile.
// Plain services are called below /v1/profiles. Every answer carries the
// request's id and how it ended.
//
// A caller must never have to guess whether its request ran. A refusal is a 4xx or 5xx
// with a problem body that says whether the request ran. A stream's status is
// held back until its first token, so that a refusal before it has a status of
// its own; when the first token is slow, the stream opens after a bound and
// carries comments, so that the caller can tell slow from silent. A stream ends
// with an event that names the outcome: end of file alone is not an answer.
//
// Input that cannot be served is refused here, before the router sees it, and is
// therefore always not-run. A caller that goes away, or that stops reading for
// longer than a bound, ends its request: the request's context is cancelled and
// the engines' streams with it.
package api
