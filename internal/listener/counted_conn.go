package listener

import (
	"net"
	"sync"
)

// countedConn is an open connection of a Listener. It embeds *net.TCPConn rather than net.Conn
// since net/http uses CloseWrite if available. Without it, a caller that is refused while it
// still sends its body would get a reset in place of the response.
type countedConn struct {
	*net.TCPConn
	listener *Listener
	// aboveLimit is set if the connection exceeded the limit when it was accepted.
	aboveLimit bool
	closeOnce  sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.open.Add(-1) })
	return c.TCPConn.Close()
}
