package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"geraniumcroft/internal/transport"
)

// maxWait bounds every wait of these tests. No test asserts how long a wait takes.
const maxWait = 10 * time.Second

// counts is an Observer.
type counts struct {
	mu       sync.Mutex
	passedOn map[string]int
	through  map[string]int
}

func newCounts() *counts { return &counts{passedOn: map[string]int{}, through: map[string]int{}} }

func (c *counts) PassedOn(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passedOn[result]++
}

func (c *counts) SentThroughPeer(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.through[result]++
}

// testPeer is a VM that passes connections on.
type testPeer struct {
	*Server
	address string
	grpc    *grpc.Server
	mu      sync.Mutex
	reason  string
	// cutOff is set if it reaches no replica.
	cutOff atomic.Bool
}

func startPeer(t testing.TB, dial transport.DialFunc) *testPeer {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testPeer{address: lis.Addr().String(), grpc: grpc.NewServer()}
	p.Server = NewServer(ServerOptions{
		Dial: dial, IsReplica: func(string) bool { return true }, Declines: p.declines,
		ReachesReplicas: func(context.Context, time.Time) bool { return !p.cutOff.Load() },
		MaxConnections:  1 << 10, Observer: newCounts(), Logger: zap.NewNop(),
	})
	p.Register(p.grpc)
	go func() { _ = p.grpc.Serve(lis) }()
	t.Cleanup(p.grpc.Stop)
	return p
}

func (p *testPeer) declines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reason
}

func (p *testPeer) decline(reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reason = reason
}

func direct() transport.DialFunc { return transport.NewDialer(transport.Settings{}) }

// startClient starts a client that asks the peers, all of the same data centre.
func startClient(t testing.TB, peers ...*testPeer) *Client {
	chosen := NewPeers(Peer{Address: "self", DataCentre: "north"})
	var all []Peer
	for _, p := range peers {
		all = append(all, Peer{Address: p.address, DataCentre: "north"})
	}
	chosen.SetPeers(all)
	c := NewClient("self", chosen, direct(), newCounts(), zap.NewNop())
	t.Cleanup(c.Close)
	return c
}

// startReplica starts a listener that serves each connection with a function and then closes it.
func startReplica(t testing.TB, serve func(conn *net.TCPConn)) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return lis.Addr().String()
}

// echo answers each line with the same line.
func echo(conn *net.TCPConn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		if _, err := io.WriteString(conn, lines.Text()+"\n"); err != nil {
			return
		}
	}
}

func dialThrough(t testing.TB, c *Client, address string) net.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	conn, err := c.Dial(ctx, address, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// awaits waits until a condition holds, at most maxWait.
func awaits(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(maxWait); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", maxWait, what)
		}
	}
}
