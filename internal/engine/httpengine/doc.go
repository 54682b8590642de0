// Package httpengine communicates with model engines over HTTP/1.1 and newline-delimited
// JSON.
//
// Each stage's stream has a new connection of its own: streams cannot block each other in
// one socket buffer, and a stage is never sent on a connection that went silent while it
// was idle. Open has a time limit until the ready event. After that an engine sends at
// least a heartbeat at an interval. If nothing arrives within SilenceTimeout, Recv closes
// the stream and reports it as silent, which says nothing about the engine itself.
//
// No request is resent without the router's knowledge. A stream's request is written
// directly to its own connection, and OpenError.Sent says whether the connection accepted
// a byte of it. The other calls use net/http on kept-alive connections; their bodies have
// no GetBody, without which net/http does not send them again.
package httpengine
