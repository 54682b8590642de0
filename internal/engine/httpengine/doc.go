// Package httpengine talks to model engines over HTTP/1.1 and newline-delimited
// JSON.
//
// Each stage's stream has a connection of its own, made for it: streams cannot
// wait for each other in one socket buffer, and a stage is never sent on a
// connection that went silent while it was idle. Open is bounded until the ready
// event. After that an engine sends something, if only a heartbeat, at an
// interval; Recv gives up a stream that brings nothing within its bound and
// reports it as silent, which says nothing about the engine itself.
//
// Nothing is resent by net/http: a POST has a body without GetBody, and the stand
// of an OpenError's Sent field is taken at the moment a connection is handed to
// the request, before the first byte can leave.
package httpengine
