// Package httpservice sends calls to plain services over HTTP/1.1, each at most
// once.
//
// Connect makes the connection before anything is sent, so its failure proves
// that the call did not run. A call that is not idempotent asks for a fresh
// connection: a kept one may have been closed, or dropped from the state of a
// firewall on the way, while it was idle, and the caller would then have to be told
// that the outcome is unknown. Others may take a kept connection that answered a moment ago.
//
// Do writes the request and reads the response by hand on that one connection,
// without an http.Transport. net/http resends some requests on a dead kept-alive
// connection, among them every request with an Idempotency-Key header; here there
// is no second connection that a resend could use. A response that ends before
// its stated length, or that states none, is no answer.
package httpservice
