package platformsim

import (
	"net"
	"sync"
)

// silenceableListener tracks its connections so that the open ones can be silenced:
// they lose all data in both directions, and neither end gets an error.
type silenceableListener struct {
	net.Listener

	mu   sync.Mutex // guards open
	open map[*silenceableConn]bool
}

func newSilenceableListener(inner net.Listener) *silenceableListener {
	return &silenceableListener{Listener: inner, open: map[*silenceableConn]bool{}}
}

// Accept implements net.Listener.
func (l *silenceableListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := newSilenceableConn(inner, l.remove)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = true
	return conn, nil
}

func (l *silenceableListener) silence(except *silenceableConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		if conn != except {
			conn.silence()
		}
	}
}

func (l *silenceableListener) cut(except *silenceableConn) {
	l.mu.Lock()
	conns := make([]*silenceableConn, 0, len(l.open))
	for conn := range l.open {
		if conn != except {
			conns = append(conns, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func (l *silenceableListener) remove(conn *silenceableConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}
