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
	// userTimeout bounds how long bytes that were sent may stay unacknowledged.
	userTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// closeFactor times the limit on connections is the count at which new ones are
	// closed without an answer.
	closeFactor = 2
)

// Listener counts connections. Those above the limit are accepted and their
// requests refused: to leave them waiting to be accepted would put urgent callers,
// and the balancer's probes, in a line behind idle ones.
type Listener struct {
	*net.TCPListener
	limit int64
	open  atomic.Int64
}

// Listen listens at IP:port for callers, of whose connections so many may be open. Connections to
// callers that have silently gone are ended.
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

// New counts the connections of a listener, of which so many may be open.
func New(listener *net.TCPListener, limit int) *Listener {
	return &Listener{TCPListener: listener, limit: int64(limit)}
}

// setUserTimeout ends connections to callers that have silently gone while bytes
// are on the way to them, where keep-alive probes are not sent. Accepted
// connections inherit it.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		open := l.open.Add(1)
		if open <= closeFactor*l.limit {
			return &countedConn{TCPConn: conn, listener: l, above: open > l.limit}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type aboveLimitKey struct{}

// ConnContext marks the requests of connections above the limit; it is http.Server's field.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if counted, ok := conn.(*countedConn); ok && counted.above {
		return context.WithValue(ctx, aboveLimitKey{}, true)
	}
	return ctx
}

// AboveLimit reports whether a request came on a connection above the limit.
func AboveLimit(ctx context.Context) bool { return ctx.Value(aboveLimitKey{}) != nil }
