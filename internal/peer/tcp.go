package peer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// dialTCP returns a Dial that sets TCP_USER_TIMEOUT. Otherwise the kernel would retransmit data
// that a silent network never acknowledges for a quarter of an hour before it reports an error.
func dialTCP(timeout time.Duration) Dial {
	dialer := &net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, timeout)
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// prepareAccepted returns a function that sets TCP_USER_TIMEOUT on an accepted connection. A
// connection that is not TCP, as in tests, is not changed.
func prepareAccepted(timeout time.Duration) func(net.Conn) {
	return func(conn net.Conn) {
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return
		}
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = setUserTimeout(raw, timeout)
		}
	}
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
