package api

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

func startServer(t *testing.T, f *fakeRouter, o Options) (*Server, string) {
	t.Helper()
	server := NewServer("127.0.0.1:0", f, o)
	address, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server, address.String()
}

func dialTCP(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// The listener is full of idle connections. One more gets an answer at once that
// says not-run and when to come back, and the balancer's probe on it is answered
// as ever; far above the limit connections are closed. When the idle ones go,
// there is room again.
func TestConnectionsAreBounded(t *testing.T) {
	f := &fakeRouter{generate: tokens("a")}
	_, address := startServer(t, f, Options{MaxConnections: 2})
	idle := []net.Conn{dialTCP(t, address), dialTCP(t, address)}
	probe := func(conn net.Conn) error {
		if _, err := conn.Write([]byte("GET " + pathHealth + " HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
			return err
		}
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err
	}
	for _, conn := range idle {
		if err := probe(conn); err != nil { // they are counted by now
			t.Fatal(err)
		}
	}
	above := dialTCP(t, address)
	if err := probe(above); err != nil {
		t.Errorf("probe above the limit: %v", err)
	}
	send(t, above, streamBody)
	response := receive(t, above)
	expectProblem(t, response, http.StatusServiceUnavailable, outcome.NotRun, outcome.ReasonOverloaded)
	if response.Header.Get("Retry-After") != "1" || !response.Close || f.reached.Load() != 0 {
		t.Errorf("headers %v, %d reached the router", response.Header, f.reached.Load())
	}
	further := []net.Conn{dialTCP(t, address), dialTCP(t, address), dialTCP(t, address)}
	closed := 0
	for _, conn := range further {
		if probe(conn) != nil {
			closed++
		}
	}
	if closed == 0 {
		t.Error("no connection is closed above twice the limit")
	}
	for _, conn := range append(append(idle, further...), above) {
		conn.Close()
	}
	if !eventuallyServed(t, address) {
		t.Error("there is no room after all connections have gone")
	}
}

// eventuallyServed tries until the server has noticed the connections' end.
func eventuallyServed(t *testing.T, address string) bool {
	for range 5000 {
		conn := dialTCP(t, address)
		_, _ = conn.Write([]byte("POST " + pathChat + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(streamBody)) + "\r\n\r\n" + streamBody))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		conn.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// The VM is shut down while a stream and a whole answer are in hand. Both end
// whole; only then does Shutdown return.
func TestShutdownCutsNothingOff(t *testing.T) {
	release := make(chan struct{})
	f := &fakeRouter{
		generate: func(ctx context.Context, r router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
			_ = sink.Token(0, "a")
			<-release
			if err := sink.Token(1, "b"); err != nil {
				return router.GenerateResult{}, outcome.Uncertain(outcome.ReasonCallerGone, "Gone.")
			}
			return router.GenerateResult{Tokens: 2, Finish: "stop"}, nil
		},
	}
	server, address := startServer(t, f, Options{})
	conn := dialTCP(t, address)
	send(t, conn, streamBody)
	response := receive(t, conn) // the stream is open
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	for range 1000 { // until the listener is closed
		other, err := net.Dial("tcp", address)
		if err != nil {
			break
		}
		other.Close()
	}
	close(release)
	events, _ := readEvents(t, response.Body)
	if len(events) != 5 || parseChunk(t, events[3].data).Outcome != "complete" {
		t.Errorf("events %q", events)
	}
	conn.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// A head beyond the server's own bound is refused by net/http before there is a
// request, and the connection closed; the router hears nothing of it.
func TestHugeHeadIsRefused(t *testing.T) {
	f := &fakeRouter{}
	_, address := startServer(t, f, Options{MaxHeaderBytes: 1024})
	conn := dialTCP(t, address)
	head := append([]byte("GET / HTTP/1.1\r\nHost: a\r\nX: "), bytes.Repeat([]byte("x"), 1<<16)...)
	_, _ = conn.Write(head) // may fail when the server has closed by now
	if response := receive(t, conn); response.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !response.Close || f.reached.Load() != 0 {
		t.Errorf("status %d", response.StatusCode)
	}
}
