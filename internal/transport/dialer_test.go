package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Addresses with host names are refused, so that a request never depends on a resolver, which
// may hang or return another address.
func TestOnlyIPAddressesAreDialled(t *testing.T) {
	dial := NewDialer(Settings{})
	for _, address := range []string{"localhost:80", "engine.example:80", "127.0.0.1", ":80", "127.0.0.1:http"} {
		conn, err := dial(context.Background(), "tcp", address)
		if err == nil {
			_ = conn.Close()
			t.Errorf("%q was dialled", address)
		}
	}
}

// Without these socket options the kernel takes minutes to detect that a connection has lost
// its peer.
func TestSocketOptionsAreSet(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	settings := Settings{UserTimeout: 10500 * time.Millisecond, KeepAlive: 3 * time.Second}
	conn, err := NewDialer(settings)(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for _, option := range []struct {
		name                   string
		level, option, expects int
	}{
		{"TCP_USER_TIMEOUT", unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 10500},
		{"SO_KEEPALIVE", unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{"TCP_KEEPIDLE", unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 3},
		{"TCP_KEEPINTVL", unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 3},
		{"TCP_KEEPCNT", unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2},
	} {
		var got int
		var sockErr error
		err := raw.Control(func(fd uintptr) { got, sockErr = unix.GetsockoptInt(int(fd), option.level, option.option) })
		if err != nil || sockErr != nil || got != option.expects {
			t.Errorf("%s is %d, %v, %v; expected %d", option.name, got, err, sockErr, option.expects)
		}
	}
}

// A write must not hang on a peer that receives no more bytes. The peer accepts the connection
// and never reads, so its window closes and the bytes stay in this VM's kernel. After
// UserTimeout the kernel ends the connection with ETIMEDOUT, which IsTimeout recognizes.
func TestUserTimeoutEndsBlockedWrites(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := NewDialer(Settings{UserTimeout: 300 * time.Millisecond})(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 1<<20)
	for range 1 << 10 {
		if _, err = conn.Write(chunk); err != nil {
			break
		}
	}
	if !errors.Is(err, syscall.ETIMEDOUT) || !IsTimeout(err) {
		t.Fatalf("%v, expected the kernel's timeout", err)
	}
}

// Guards against two timeouts of which one is never reached: TCP_USER_TIMEOUT ends a connection whatever
// the number of unanswered probes.
func TestKeepAliveAndUserTimeoutAgree(t *testing.T) {
	for _, s := range []Settings{{}, {KeepAlive: 5 * time.Second, UserTimeout: 10 * time.Second}} {
		s = s.WithDefaults()
		config := keepAliveConfig(s)
		if total := config.Idle + time.Duration(config.Count)*config.Interval; total != s.UserTimeout {
			t.Errorf("probes end a connection after %s, TCP_USER_TIMEOUT after %s", total, s.UserTimeout)
		}
	}
}

func TestAcceptedConnectionsHaveTheSocketOptions(t *testing.T) {
	listener, err := NewListenConfig(Settings{KeepAlive: 5 * time.Second, UserTimeout: 10 * time.Second}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for option, expects := range map[int]int{unix.TCP_USER_TIMEOUT: 10_000, unix.TCP_KEEPIDLE: 5, unix.TCP_KEEPINTVL: 5, unix.TCP_KEEPCNT: 1} {
		var got int
		var sockErr error
		err := raw.Control(func(fd uintptr) { got, sockErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) })
		if err != nil || sockErr != nil || got != expects {
			t.Errorf("option %d is %d, %v, %v; expected %d", option, got, err, sockErr, expects)
		}
	}
}
