package pipenet

import "net"

// cuttable is the dialling end; what passes it in either direction while it is
// cut is lost without an error.
type cuttable struct {
	net.Conn
	network  *Network
	from, to string
	silent   bool // guarded by network.mu
}

func (c *cuttable) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.network.isCut(c) {
			return n, err
		}
		c.silence()
	}
}

func (c *cuttable) Write(p []byte) (int, error) {
	if c.network.isCut(c) {
		c.silence()
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// silence keeps a connection that has lost bytes silent, as its stream is broken.
func (c *cuttable) silence() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.silent = true
}

func (c *cuttable) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
