package listener

import (
	"net"
	"sync"
)

// countedConn embeds the TCP connection, not net.Conn, since net/http looks for
// CloseWrite: without it a caller that is refused while it still sends its body
// would see a reset in place of the answer.
type countedConn struct {
	*net.TCPConn
	listener *Listener
	above    bool
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.TCPConn.Close()
}
