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

// DialFunc opens a connection. Tests replace it to run without a network.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a function that connects to addresses of the form IP:port with the
// timeouts and socket options of s. It resolves no host names.
func NewDialer(s Settings) DialFunc {
	s = s.WithDefaults()
	dialer := &net.Dialer{
		Timeout:         s.ConnectTimeout,
		KeepAliveConfig: keepAliveConfig(s),
		ControlContext:  userTimeout(s.UserTimeout),
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, errors.Wrapf(err, "address %q is not IP:port", address)
		}
		return dialer.DialContext(ctx, network, address)
	}
}

// NewListenConfig returns a configuration of listeners whose connections have the socket options of s.
func NewListenConfig(s Settings) *net.ListenConfig {
	s = s.WithDefaults()
	control := userTimeout(s.UserTimeout)
	return &net.ListenConfig{
		KeepAliveConfig: keepAliveConfig(s),
		// Accepted connections inherit TCP_USER_TIMEOUT.
		Control: func(network, address string, raw syscall.RawConn) error {
			return control(context.Background(), network, address, raw)
		},
	}
}

// keepAliveConfig returns the keepalive options of s. TCP_USER_TIMEOUT also ends a connection whose
// keepalive probes stay unanswered, whatever their number. The number given is what fits into it, so that
// both say the same.
func keepAliveConfig(s Settings) net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: s.KeepAlive, Interval: s.KeepAlive,
		Count: max(1, int(s.UserTimeout/s.KeepAlive)-1),
	}
}

// userTimeout returns a control function that sets TCP_USER_TIMEOUT. Without it the kernel
// retransmits unacknowledged bytes for about 15 minutes before it reports that a connection
// is dead.
func userTimeout(timeout time.Duration) func(context.Context, string, string, syscall.RawConn) error {
	return func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.CombineErrors(err, sockErr)
	}
}
