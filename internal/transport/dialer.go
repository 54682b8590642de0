package transport

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const keepAliveProbes = 2

// DialFunc makes a connection; tests replace it to run without a network.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a function that connects to IP:port within the bounds of s.
func NewDialer(s Settings) DialFunc {
	s = s.WithDefaults()
	dialer := &net.Dialer{
		Timeout: s.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     s.KeepAlive,
			Interval: s.KeepAlive,
			Count:    keepAliveProbes,
		},
		ControlContext: userTimeout(s.UserTimeout),
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, errors.Wrapf(err, "address %q is not IP:port", address)
		}
		return dialer.DialContext(ctx, network, address)
	}
}

// userTimeout sets TCP_USER_TIMEOUT. Without it the kernel resends unacknowledged
// bytes for some 15 minutes before it tells anyone that a connection is gone.
func userTimeout(bound time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	return func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(bound.Milliseconds()))
		})
		return errors.CombineErrors(err, failed)
	}
}
