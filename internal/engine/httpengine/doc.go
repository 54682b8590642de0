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
// Nothing is resent behind the router's back. A stream's request is written by
// hand on its own connection, and OpenError.Sent says whether the connection took
// a byte of it. The other calls go through net/http on kept connections; their
// bodies have no GetBody, without which net/http does not replay them.
package httpengine
