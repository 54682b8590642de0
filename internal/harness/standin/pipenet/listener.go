package pipenet

import (
	"net"
	"sync"
)

// pipeListener accepts connections dialled in memory. It implements net.Listener.
type pipeListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return Addr(l.address) }
