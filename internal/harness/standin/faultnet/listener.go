package faultnet

import (
	"net"
	"sync"
)

// Listener wraps a TCP listener and tracks its open connections. It is safe for
// concurrent use.
type Listener struct {
	net.Listener

	mu   sync.Mutex // guards the field below
	open map[*Conn]struct{}
}

// Listen listens on a TCP address, as IP:port.
func Listen(address string) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, open: map[*Conn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// ResetAll resets every open connection; the peers see ECONNRESET.
func (l *Listener) ResetAll() {
	for _, c := range l.connections() {
		c.Reset()
	}
}

// SilenceAll permanently silences the connections that are open now, except for one:
// the connection on which the request to do so arrived. It may be nil. New connections
// work.
func (l *Listener) SilenceAll(except *Conn) {
	for _, c := range l.connections() {
		if c != except {
			c.GoSilent()
		}
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *Listener) connections() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*Conn, 0, len(l.open))
	for c := range l.open {
		list = append(list, c)
	}
	return list
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}
