package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection that can be reset or made silent.
type Conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// Read implements net.Conn. On a silent connection it blocks until the connection is
// closed at this end: neither bytes nor the peer's close arrive.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent.Load() || isTimeout(err) {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn. On a silent connection the bytes are lost.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// GoSilent permanently silences the connection.
func (c *Conn) GoSilent() { c.silent.Store(true) }

// Reset closes the connection so that the peer sees ECONNRESET.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Close implements net.Conn. A silent connection stays open towards the peer until
// the process ends or the peer closes, since a FIN would break the silence.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.remove(c)
	})
	if c.silent.Load() {
		go drain(c.Conn)
		return nil
	}
	return c.Conn.Close()
}

// drain discards what the peer sends until the peer closes.
func drain(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Time{})
	buf := make([]byte, 512)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
