// Package transport opens the connections from this VM to targets and to the store.
//
// A connection can go silent permanently while new ones to the same peer work, because a
// firewall or an address translator on the path has dropped its state. Three mechanisms
// detect this. TCP keepalive and TCP_USER_TIMEOUT let the kernel end a connection whose peer
// acknowledges nothing. The clients that use this package bound each wait for bytes. A client
// that finds a connection silent calls Pool.CloseIdle, which closes the idle connections to
// the same peer, as they use the same path and may be affected too. The peer itself is not
// considered dead for this reason, and the next request opens a new connection.
//
// TCP delivers in order, so requests that are multiplexed on one connection block each other
// (head-of-line blocking). Token streams and service calls therefore never share a
// connection: each has its own Conn, so a lost packet or a large bulk body delays no other
// request. Only short control calls use kept connections.
package transport
