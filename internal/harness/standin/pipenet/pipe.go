// Package pipenet makes connections in memory for tests in virtual time.
package pipenet

import (
	"io"
	"net"
	"sync"
	"time"
)

// New returns the two ends of a connection with buffers in both directions.
// net.Pipe has none, and two ends that write at once would wait for each other.
func New() (net.Conn, net.Conn) {
	a, b := newStream(), newStream()
	return &pipeConn{in: a, out: b}, &pipeConn{in: b, out: a}
}

// stream is one direction. It waits on a condition variable, which virtual time
// sees as idle.
type stream struct {
	mu     sync.Mutex
	ready  *sync.Cond
	data   []byte
	closed bool
}

func newStream() *stream {
	s := &stream{}
	s.ready = sync.NewCond(&s.mu)
	return s
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.ready.Broadcast()
}

// pipeConn is one end of a connection; it implements net.Conn without deadlines.
type pipeConn struct {
	in, out *stream
}

func (c *pipeConn) Read(p []byte) (int, error) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	for len(c.in.data) == 0 {
		if c.in.closed {
			return 0, io.EOF
		}
		c.in.ready.Wait()
	}
	n := copy(p, c.in.data)
	c.in.data = c.in.data[n:]
	return n, nil
}

func (c *pipeConn) Write(p []byte) (int, error) {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	if c.out.closed {
		return 0, io.ErrClosedPipe
	}
	c.out.data = append(c.out.data, p...)
	c.out.ready.Broadcast()
	return len(p), nil
}

func (c *pipeConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *pipeConn) LocalAddr() net.Addr              { return Addr("local") }
func (c *pipeConn) RemoteAddr() net.Addr             { return Addr("remote") }
func (c *pipeConn) SetDeadline(time.Time) error      { return nil }
func (c *pipeConn) SetReadDeadline(time.Time) error  { return nil }
func (c *pipeConn) SetWriteDeadline(time.Time) error { return nil }

// Addr is an address of a connection in memory.
type Addr string

// Network implements net.Addr.
func (Addr) Network() string { return "pipe" }

// String implements net.Addr.
func (a Addr) String() string { return string(a) }
