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

// Idle connections use up the connection limit. A request on one more connection is
// refused immediately as not-run with a Retry-After, while the balancer's health
// check on it still succeeds. Above twice the limit connections are closed. Requests
// are served again after the idle connections have closed.
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
		if err := probe(conn); err != nil { // afterwards the connection is counted
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
	if response.Header.Get("Retry-After") != "1" || !response.Close || f.requests.Load() != 0 {
		t.Errorf("headers %v, %d requests reached the router", response.Header, f.requests.Load())
	}
	extra := []net.Conn{dialTCP(t, address), dialTCP(t, address), dialTCP(t, address)}
	closed := 0
	for _, conn := range extra {
		if probe(conn) != nil {
			closed++
		}
	}
	if closed == 0 {
		t.Error("no connection was closed above twice the limit")
	}
	for _, conn := range append(append(idle, extra...), above) {
		conn.Close()
	}
	if !waitUntilServed(t, address) {
		t.Error("no request was served after all connections had closed")
	}
}

// waitUntilServed retries until the server has noticed that the connections closed.
// It reports whether a request was served.
func waitUntilServed(t *testing.T, address string) bool {
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

// Shutdown is called while a stream is open. It returns only after the stream is
// complete.
func TestShutdownWaitsForRequestsInProgress(t *testing.T) {
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

// A head above the limit of http.Server is refused by net/http, which closes the
// connection. The request does not reach the router.
func TestHeadBeyondServerLimitIsRefused(t *testing.T) {
	f := &fakeRouter{}
	_, address := startServer(t, f, Options{MaxHeaderBytes: 1024})
	conn := dialTCP(t, address)
	head := append([]byte("GET / HTTP/1.1\r\nHost: a\r\nX: "), bytes.Repeat([]byte("x"), 1<<16)...)
	_, _ = conn.Write(head) // fails if the server has already closed the connection
	if response := receive(t, conn); response.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !response.Close || f.requests.Load() != 0 {
		t.Errorf("status %d", response.StatusCode)
	}
}
