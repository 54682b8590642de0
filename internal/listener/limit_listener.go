package listener

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	// userTimeout bounds the time that sent bytes may stay unacknowledged. It is the time
	// in which keepalive detects a dead peer.
	userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// closeFactor times the limit is the number of connections above which new ones are
	// closed without a response.
	closeFactor = 2
)

// Listener counts open connections. Connections above the limit are accepted, but their
// requests are to be refused, see AboveLimit. If they were left in the accept queue, urgent
// callers and the balancer's probes would wait behind idle connections.
type Listener struct {
	*net.TCPListener
	// Saturated reports whether this VM can serve no more connections now, nil if that is not known. It
	// must be set before the first Accept.
	Saturated func() bool

	limit    int64
	open     atomic.Int64
	declined atomic.Uint64
}

// Listen listens at IP:port for callers, with a limit on open connections. Keepalive and
// TCP_USER_TIMEOUT end connections to callers that disappeared without closing them.
func Listen(address string, limit int) (*Listener, error) {
	config := net.ListenConfig{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return New(listener.(*net.TCPListener), limit), nil
}

// New wraps a listener with a limit on open connections.
func New(listener *net.TCPListener, limit int) *Listener {
	return &Listener{TCPListener: listener, limit: int64(limit)}
}

// setUserTimeout sets TCP_USER_TIMEOUT, which accepted connections inherit. It ends
// connections to callers that disappeared while sent bytes are unacknowledged; in this state
// no keepalive probes are sent.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var sockErr error
	err := conn.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Accept implements net.Listener. It closes connections beyond closeFactor times the limit, and all new ones
// while the VM is saturated, and waits for the next one. A caller whose request was not read may send it to
// another VM, whatever it is.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		open := l.open.Add(1)
		if open <= closeFactor*l.limit && (l.Saturated == nil || !l.Saturated()) {
			return &countedConn{TCPConn: conn, listener: l, aboveLimit: open > l.limit}, nil
		}
		l.open.Add(-1)
		l.declined.Add(1)
		_ = conn.Close()
	}
}

// Declined returns the number of connections that were closed unread.
func (l *Listener) Declined() uint64 { return l.declined.Load() }

type aboveLimitKey struct{}

// ConnContext marks the requests of connections above the limit, for AboveLimit. Use it as
// ConnContext of the http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if counted, ok := conn.(*countedConn); ok && counted.aboveLimit {
		return context.WithValue(ctx, aboveLimitKey{}, true)
	}
	return ctx
}

// AboveLimit reports whether a request arrived on a connection above the limit.
func AboveLimit(ctx context.Context) bool { return ctx.Value(aboveLimitKey{}) != nil }
