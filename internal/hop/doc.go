// Package hop opens connections to replicas through a peer, for a VM that does not reach them itself.
//
// A connection of Client is a gRPC stream to the peer's Server, which opens a connection to the replica
// and passes the bytes on in both directions. The peer does not look at them: the VM that the caller
// asked remains in charge of the request, with its configuration, limits, retries and log. A stream ends
// as the replica's connection did: an orderly end is io.EOF, and a connection that broke, at the replica
// or at the peer, is an error, after which the request may have run. Closing either end closes the
// other, so that a request that was cancelled ends at the replica. Each stream has its own flow control:
// a slow reader delays only its own connection. A Server connects directly and never through another
// peer.
//
// Dialer chooses between the two ways. It begins with the likelier one and starts the other when that
// fails or takes long; the first connection wins. Which replicas a peer may be asked for, and how many
// connections it passes on, is up to the peer; one that declines is avoided for a while.
package hop
