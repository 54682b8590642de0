// Package transport makes the connections from this VM to targets.
//
// A connection can go silent for good while new ones to the same peer work: a
// firewall or an address translator on the way has dropped its state of it. The defence has three
// layers. TCP keepalive and TCP_USER_TIMEOUT let the kernel break a connection
// whose peer acknowledges nothing. The clients above this package bound each
// wait for bytes. When one of them finds a connection silent it calls
// Pool.CloseIdle, which drops the idle connections to the same peer, as they went
// the same way; the peer itself is not declared dead for it, and the
// next request dials anew.
//
// TCP delivers in order, so a connection is one line of waiting, whatever is
// multiplexed on it. Streams of tokens and calls of services therefore never share
// one: each has a Conn of its own while it lasts, and a lost packet or a large
// bulk body delays nobody else. Only short control calls use kept connections.
package transport
