package peer

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes on all connections between this VM and its peers. It is safe for
// concurrent use.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes written.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes read.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	read, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(read))
	return read, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	written, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(written))
	return written, err
}

// countingListener prepares the connections that it accepts and counts their bytes.
type countingListener struct {
	net.Listener
	traffic *Traffic
	prepare func(net.Conn)
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.prepare(conn)
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}

// Traffic returns the counters of the bytes exchanged with peers. They keep counting.
func (n *Node) Traffic() *Traffic { return n.traffic }
