package httpservice

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"geraniumcroft/internal/service"
	"geraniumcroft/internal/transport"
)

const (
	testAddress      = "192.0.2.1:80"
	completeResponse = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok"
)

// pipeService is the service's end of in-memory pipes, so that tests run in virtual time.
// It answers each request with what respond returns for the request's number.
type pipeService struct {
	// respond returns what to send and whether to keep the connection open.
	respond func(number int, req *http.Request) (string, bool)

	mu       sync.Mutex // guards the fields below
	dials    int
	requests int
}

func (p *pipeService) dial(context.Context, string, string) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	near, far := net.Pipe()
	go p.serve(far)
	return near, nil
}

func (p *pipeService) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		p.mu.Lock()
		p.requests++
		number := p.requests
		p.mu.Unlock()
		text, keepOpen := p.respond(number, req)
		_, _ = io.WriteString(conn, text)
		if !keepOpen {
			return
		}
	}
}

func (p *pipeService) counts() (dials, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials, p.requests
}

func newTestClient(t *testing.T, dial transport.DialFunc) *Client {
	pool := transport.NewPool(transport.Settings{}, dial)
	t.Cleanup(pool.Close)
	client := New(pool, Settings{SilenceTimeout: time.Second, MaxIdleTime: 500 * time.Millisecond, MaxBodyBytes: 1000})
	t.Cleanup(client.Close)
	return client
}

var testCall = service.Call{RequestID: "r", Path: "/hold", Body: []byte("{}"), IdempotencyKey: "k", Idempotent: true}

func call(ctx context.Context, t *testing.T, c *Client, fresh bool) (service.Response, error) {
	t.Helper()
	conn, err := c.Connect(ctx, testAddress, fresh)
	if err != nil {
		t.Fatal(err)
	}
	return conn.Do(ctx, testCall)
}

func asCallError(t *testing.T, err error) *service.CallError {
	t.Helper()
	var failure *service.CallError
	if !errors.As(err, &failure) {
		t.Fatalf("%v is not a *CallError", err)
	}
	return failure
}
