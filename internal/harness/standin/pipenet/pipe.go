// Package pipenet provides connections in memory for tests in virtual time.
package pipenet

import (
	"io"
	"net"
	"sync"
	"time"
)

// New returns the two ends of a connection with an unbounded buffer in each direction.
// net.Pipe has no buffers, so that two ends that write at the same time would
// deadlock.
func New() (net.Conn, net.Conn) {
	a, b := newStream(), newStream()
	return &pipeConn{in: a, out: b}, &pipeConn{in: b, out: a}
}

// stream is one direction of a connection. Readers wait on a condition variable, which
// testing/synctest treats as durably blocked.
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

// pipeConn is one end of a connection. It implements net.Conn; deadlines are ignored.
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

// Addr is the address of a connection or listener in memory.
type Addr string

// Network implements net.Addr.
func (Addr) Network() string { return "pipe" }

// String implements net.Addr.
func (a Addr) String() string { return string(a) }
