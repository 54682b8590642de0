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

// Suspecting one peer must not cost the others their kept connections, so each
// has a transport of its own, and no call waits for another one's connection.
func TestPeersHaveTheirOwnConnections(t *testing.T) {
	pool := NewPool(Settings{}, nil)
	defer pool.Close()
	first := pool.Transport("192.0.2.1:80")
	if pool.Transport("192.0.2.1:80") != first {
		t.Error("connections are not kept")
	}
	if pool.Transport("192.0.2.2:80") == first {
		t.Error("peers share a transport")
	}
}

// A control call finds its connection silent. The other idle ones to that peer went
// the same way, so the next call opens a new one in place of waiting out its bound on
// the next silent one; a call that is under way, and other peers' connections, stay.
func TestSuspectDropsIdleConnections(t *testing.T) {
	dials := map[string]int{}
	pool := NewPool(Settings{}, func(_ context.Context, _, address string) (net.Conn, error) {
		dials[address]++
		near, far := net.Pipe()
		go answerAll(far)
		return near, nil
	})
	defer pool.Close()
	const suspect, other = "192.0.2.1:80", "192.0.2.2:80"
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
		get(suspect)
		get(other)
	}
	if dials[suspect] != 1 || dials[other] != 1 {
		t.Fatalf("dialled %v, want one kept connection each", dials)
	}
	pool.CloseIdle(suspect)
	get(suspect)
	get(other)
	if dials[suspect] != 2 || dials[other] != 1 {
		t.Errorf("dialled %v, want a new connection to the suspected peer alone", dials)
	}
}

// answerAll answers every request on the connection until it is closed.
func answerAll(conn net.Conn) {
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
