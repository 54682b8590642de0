package platformsim

import (
	"net"
	"sync"
	"sync/atomic"
)

// silenceableConn is a connection that can be silenced: then it discards what the peer
// sends and what is written to it.
type silenceableConn struct {
	net.Conn
	silent    atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once
	onClose   func(*silenceableConn)
}

func newSilenceableConn(inner net.Conn, onClose func(*silenceableConn)) *silenceableConn {
	return &silenceableConn{Conn: inner, closed: make(chan struct{}), onClose: onClose}
}

func (c *silenceableConn) silence() { c.silent.Store(true) }

// Read implements net.Conn.
func (c *silenceableConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !c.silent.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *silenceableConn) Write(buffer []byte) (int, error) {
	if c.silent.Load() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

// Close implements net.Conn.
func (c *silenceableConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.onClose(c)
	})
	return c.Conn.Close()
}
