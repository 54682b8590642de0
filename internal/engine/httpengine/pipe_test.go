package httpengine

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

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/transport"
)

const readyLine = `{"kind":"ready","requestId":"r","epoch":1}` + "\n"

// pipeEngine is the engine's end of in-memory pipes, so that tests run in virtual time. It
// calls serve for each connection, with the connection's number.
type pipeEngine struct {
	serve func(number int, conn net.Conn, in *bufio.Reader)

	mu       sync.Mutex // guards the fields below
	dials    int
	requests int
}

func (p *pipeEngine) dial(context.Context, string, string) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	number := p.dials
	p.mu.Unlock()
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		p.serve(number, far, bufio.NewReader(far))
	}()
	return near, nil
}

// read reads one complete request and reports whether there was one.
func (p *pipeEngine) read(in *bufio.Reader) bool {
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	p.mu.Lock()
	p.requests++
	p.mu.Unlock()
	return true
}

func (p *pipeEngine) counts() (dials, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials, p.requests
}

const streamHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

func send(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// waitClosed waits until the router closes the connection.
func waitClosed(in *bufio.Reader) { _, _ = in.ReadByte() }

func newPipeClient(t *testing.T, dial transport.DialFunc) *Client {
	pool := transport.NewPool(transport.Settings{}, dial)
	t.Cleanup(pool.Close)
	return New(pool, Settings{OpenTimeout: 2 * time.Second, SilenceTimeout: time.Second, ControlTimeout: time.Second})
}

var testOpen = engine.StageOpen{RequestID: "r", Epoch: 1, Prompt: []string{"a"}, MaxTokens: 3}

const testAddress = "192.0.2.1:80"

func asOpenError(t *testing.T, err error) *engine.OpenError {
	t.Helper()
	var open *engine.OpenError
	if !errors.As(err, &open) {
		t.Fatalf("%v is not an *OpenError", err)
	}
	return open
}
