package hop

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/transport"
)

func TestBytesArePassedOnInBothDirections(t *testing.T) {
	replica := startReplica(t, echo)
	conn := dialThrough(t, startClient(t, startPeer(t, direct())), replica)
	long := strings.Repeat("x", 50_000) + "\n"
	go func() { _, _ = io.WriteString(conn, "a\n"+long) }()
	reader := bufio.NewReader(conn)
	for _, want := range []string{"a\n", long} {
		if got, err := reader.ReadString('\n'); got != want {
			t.Fatalf("%d bytes, want %d: %v", len(got), len(want), err)
		}
	}
	if conn.RemoteAddr().String() != replica || conn.RemoteAddr().(transport.PeerAddr).PeerAddress() == "" {
		t.Errorf("remote address %v", conn.RemoteAddr())
	}
}

// Guards against a response without a length that looks complete although its connection was reset.
func TestOrderlyEndAndResetAreToldApart(t *testing.T) {
	for name, test := range map[string]struct {
		end     func(conn *net.TCPConn)
		orderly bool
	}{
		"closed": {func(*net.TCPConn) {}, true},
		"reset":  {func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			replica := startReplica(t, func(conn *net.TCPConn) {
				_, _ = bufio.NewReader(conn).ReadString('\n')
				_, _ = io.WriteString(conn, "answer")
				time.Sleep(50 * time.Millisecond) // a reset may overtake bytes that are not read yet
				test.end(conn)
			})
			conn := dialThrough(t, startClient(t, startPeer(t, direct())), replica)
			_, _ = io.WriteString(conn, "ask\n")
			got, err := io.ReadAll(conn)
			if string(got) != "answer" || (err == nil) != test.orderly {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// Guards against a response that looks complete although the peer died while it passed it on.
func TestPeerThatDiesBreaksTheConnection(t *testing.T) {
	peer := startPeer(t, direct())
	conn := dialThrough(t, startClient(t, peer), startReplica(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "begin")
		_, _ = io.Copy(io.Discard, conn)
	}))
	if _, err := io.ReadFull(conn, make([]byte, len("begin"))); err != nil {
		t.Fatal(err)
	}
	peer.grpc.Stop()
	var broken *PeerError
	if _, err := conn.Read(make([]byte, 1)); !errors.As(err, &broken) {
		t.Errorf("%v", err)
	}
}

// Guards against replicas that go on working for a caller that has left.
func TestCloseReachesTheReplica(t *testing.T) {
	left := make(chan struct{})
	peer := startPeer(t, direct())
	client := startClient(t, peer)
	conn := dialThrough(t, client, startReplica(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn)
		close(left)
	}))
	_ = conn.Close()
	select {
	case <-left:
	case <-time.After(maxWait):
		t.Fatal("the replica's connection is still open")
	}
	awaits(t, "nothing is passed on", func() bool { return peer.Active() == 0 && len(client.peers.Active()) == 0 })
}

// Guards against one caller that does not read and delays the streams of others through the same peer.
func TestSlowReaderDelaysNobodyElse(t *testing.T) {
	client := startClient(t, startPeer(t, direct()))
	flood := startReplica(t, func(conn *net.TCPConn) {
		chunk := bytes.Repeat([]byte("x"), 1<<16)
		for {
			if _, err := conn.Write(chunk); err != nil {
				return
			}
		}
	})
	for range 20 {
		dialThrough(t, client, flood) // never read
	}
	time.Sleep(200 * time.Millisecond)
	conn := dialThrough(t, client, startReplica(t, echo))
	_ = conn.SetDeadline(time.Now().Add(maxWait))
	for range 100 {
		if _, err := io.WriteString(conn, "a\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(conn, make([]byte, 2)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a VM that is refused by one peer while others could pass its connection on.
func TestAnotherPeerIsAskedIfOneDeclines(t *testing.T) {
	busy, free := startPeer(t, direct()), startPeer(t, direct())
	busy.decline("busy")
	client, replica := startClient(t, busy, free), startReplica(t, echo)
	for range 10 {
		if got := dialThrough(t, client, replica).RemoteAddr().(transport.PeerAddr).PeerAddress(); got != free.address {
			t.Errorf("through %s", got)
		}
	}
	free.decline("busy")
	var declined *DeclinedError
	if _, err := client.Dial(t.Context(), replica, false); !errors.As(err, &declined) {
		t.Errorf("%v", err)
	}
	if _, err := startClient(t).Dial(t.Context(), replica, false); !errors.Is(err, ErrNoPeer) {
		t.Errorf("%v", err)
	}
}

// Guards against first tries that wait for a peer that is frozen or cut off.
func TestAnotherPeerIsAskedIfOneIsSilent(t *testing.T) {
	silent := startReplica(t, func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) })
	client, replica := startClient(t, &testPeer{address: silent}, startPeer(t, direct())), startReplica(t, echo)
	for range 5 {
		dialThrough(t, client, replica)
	}
}

// Guards against a peer that passes on more than it can bear, and against one that is used to reach
// other addresses than replicas.
func TestPeerDeclinesBeyondItsLimits(t *testing.T) {
	peer, replica := startPeer(t, direct()), startReplica(t, echo)
	peer.MaxConnections = 2
	client := startClient(t, peer)
	first := dialThrough(t, client, replica)
	dialThrough(t, client, replica)
	var declined *DeclinedError
	if _, err := client.Dial(t.Context(), replica, false); !errors.As(err, &declined) {
		t.Errorf("above the limit: %v", err)
	}
	_ = first.Close()
	awaits(t, "there is room again", func() bool { return peer.Active() < 2 })
	peer.IsReplica = func(address string) bool { return address != replica }
	if _, err := client.Dial(t.Context(), replica, false); !errors.As(err, &declined) {
		t.Errorf("not a replica: %v", err)
	}
}

// Guards against a replica's end that is not noticed, or taken for granted, through a peer.
func TestPeerTellsWhyItDoesNotReachAReplica(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := lis.Addr().String()
	_ = lis.Close()
	peer := startPeer(t, direct())
	client := startClient(t, peer)
	if _, err := client.Dial(t.Context(), dead, false); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("%v", err)
	}
	peer.cutOff.Store(true)
	if _, err := client.Dial(t.Context(), dead, false); errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the word of a peer that may be cut off counts: %v", err)
	}
}

func TestReadHonoursItsDeadline(t *testing.T) {
	conn := dialThrough(t, startClient(t, startPeer(t, direct())), startReplica(t, echo))
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
	_ = conn.SetReadDeadline(time.Time{})
	_, _ = io.WriteString(conn, "a\n")
	if _, err := io.ReadFull(conn, make([]byte, 2)); err != nil {
		t.Errorf("after the deadline was removed: %v", err)
	}
}

// Guards against a connection that fails since the first peer is cut off as well and does not know it yet.
func TestNextPeerIsAskedIfTheFirstOneMayBeCutOff(t *testing.T) {
	replica, peers := startReplica(t, echo), []*testPeer{}
	for range 3 {
		peers = append(peers, startPeer(t, direct()))
	}
	for _, cutOff := range peers[:2] {
		cutOff.cutOff.Store(true)
		cutOff.Dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, os.NewSyscallError("connect", syscall.ECONNREFUSED)
		}
	}
	conn, err := startClient(t, peers...).Dial(t.Context(), replica, false)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// Guards against a body that a replica does not read and that blocks its request for good.
func TestWriteHonoursItsDeadline(t *testing.T) {
	stuck := make(chan struct{})
	t.Cleanup(func() { close(stuck) })
	conn := dialThrough(t, startClient(t, startPeer(t, direct())), startReplica(t, func(*net.TCPConn) { <-stuck }))
	_ = conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := conn.Write(make([]byte, 64<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
}

// Guards against a connection attempt that goes on after its request has ended.
func TestCancelledAttemptLeavesNothing(t *testing.T) {
	peer := startPeer(t, func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	client := startClient(t, peer)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		awaits(t, "the peer is asked", func() bool { return peer.Active() > 0 })
		cancel()
	}()
	if _, err := client.Dial(ctx, "127.0.0.1:1", false); err == nil {
		t.Error("no error")
	}
	awaits(t, "nothing is left", func() bool { return peer.Active() == 0 && len(client.peers.Active()) == 0 })
}

// Guards against a count of connections that falls below zero, after which the peer counts as the least
// used one for good.
func TestAttemptsThatAreCancelledAsTheyConnectAreCountedOnce(t *testing.T) {
	peer, replica := startPeer(t, direct()), startReplica(t, echo)
	client := startClient(t, peer)
	dialThrough(t, client, replica)
	for i := range 300 {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Duration(i)*5*time.Microsecond, cancel)
		if conn, err := client.Dial(ctx, replica, false); err == nil {
			_ = conn.Close()
		}
	}
	awaits(t, "one connection is left", func() bool { return peer.Active() == 1 })
	awaits(t, "one connection is counted", func() bool { return client.peers.Active()[peer.address] == 1 })
}

// Guards against a peer that is avoided as silent since it tries a replica that is dead.
func TestPeerThatTriesADeadReplicaIsNotAvoided(t *testing.T) {
	peer := startPeer(t, func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	client := startClient(t, peer)
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	var unreached *ReplicaError
	if _, err := client.Dial(ctx, "127.0.0.1:1", false); !errors.As(err, &unreached) {
		t.Errorf("%v", err)
	}
}

// Guards against a bug in one connection that ends the process with all requests of the VM.
func TestPanicFailsItsConnectionOnly(t *testing.T) {
	peer := startPeer(t, func(context.Context, string, string) (net.Conn, error) { panic("a bug") })
	client := startClient(t, peer)
	var failed *PeerError
	if _, err := client.Dial(t.Context(), "127.0.0.1:1", false); !errors.As(err, &failed) {
		t.Errorf("%v", err)
	}
	awaits(t, "nothing is left", func() bool { return peer.Active() == 0 })
}
