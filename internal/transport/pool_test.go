package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// Each peer has its own transport, so that closing the idle connections to one peer does not
// affect those to others.
func TestPeersHaveTheirOwnTransports(t *testing.T) {
	pool := NewPool(Settings{}, nil)
	defer pool.Close()
	first := pool.Transport("192.0.2.1:80")
	if pool.Transport("192.0.2.1:80") != first {
		t.Error("a peer's transport is not reused")
	}
	if pool.Transport("192.0.2.2:80") == first {
		t.Error("peers share a transport")
	}
}

// After a control call found its connection silent, the next call to that peer must open a new
// connection rather than run into its timeout on another idle one. Connections to other peers
// stay open.
func TestCloseIdleAffectsOnePeer(t *testing.T) {
	dials := map[string]int{}
	pool := NewPool(Settings{}, func(_ context.Context, _, address string) (net.Conn, error) {
		dials[address]++
		client, server := net.Pipe()
		go serveOK(server)
		return client, nil
	})
	defer pool.Close()
	const silent, other = "192.0.2.1:80", "192.0.2.2:80"
	get := func(address string) {
		t.Helper()
		client := http.Client{Transport: pool.Transport(address)}
		response, err := client.Get("http://" + address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	for range 2 {
		get(silent)
		get(other)
	}
	if dials[silent] != 1 || dials[other] != 1 {
		t.Fatalf("dialled %v, want one kept connection each", dials)
	}
	pool.CloseIdle(silent)
	get(silent)
	get(other)
	if dials[silent] != 2 || dials[other] != 1 {
		t.Errorf("dialled %v, want a new connection to the silent peer only", dials)
	}
}

// serveOK responds to every request on the connection until it is closed.
func serveOK(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); errors.Is(err, io.ErrClosedPipe) {
			return
		}
	}
}
