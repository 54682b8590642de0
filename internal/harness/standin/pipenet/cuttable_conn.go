package pipenet

import "net"

// cuttableConn is the dialling end of a connection. Data that passes it in either
// direction while its link is cut is lost without an error.
type cuttableConn struct {
	net.Conn
	network  *Network
	from, to string
	silent   bool // guarded by network.mu
}

func (c *cuttableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.network.isCut(c) {
			return n, err
		}
		c.silence()
	}
}

func (c *cuttableConn) Write(p []byte) (int, error) {
	if c.network.isCut(c) {
		c.silence()
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// silence permanently silences a connection that has lost bytes, since its byte
// stream is corrupt.
func (c *cuttableConn) silence() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.silent = true
}

func (c *cuttableConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
