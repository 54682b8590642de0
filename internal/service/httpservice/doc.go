// Package httpservice sends calls to plain services over HTTP/1.1, each at most once.
//
// Connect makes the connection before anything is sent, so its failure proves that the
// call did not run. A call that is not idempotent needs a fresh connection: an idle one
// may have been closed, or a firewall on the path may have dropped its state of it, and
// the outcome of the call would then be unknown to the caller. Other calls may use an
// idle connection that was active a short time ago.
//
// Do writes the request and reads the response directly on that one connection, without
// an http.Transport. net/http resends some requests when a kept-alive connection breaks,
// among them every request with an Idempotency-Key header; here there is no second
// connection that a resend could use. A response that ends before its stated length, or
// that states none, is an error.
package httpservice
