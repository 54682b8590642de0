package api

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/outcome"
	"geraniumcroft/internal/router"
)

// pipeListener accepts in-process pipes instead of TCP connections, so that complete
// exchanges run in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

func (l *pipeListener) dial() net.Conn {
	server, client := net.Pipe()
	l.conns <- server
	return client
}

// inVirtualTime runs test in virtual time against a server that listens on l.
func inVirtualTime(t *testing.T, f *fakeRouter, o Options, test func(t *testing.T, l *pipeListener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := NewServer("", f, o)
		go server.serve(listener)
		test(t, listener)
		server.Close()
		synctest.Wait()
	})
}

const streamBody = `{"model":"d","stream":true,"messages":[{"role":"user","content":"x"}]}`

// send writes a request for a chat completion to conn.
func send(t *testing.T, conn net.Conn, body string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1"+pathChat, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Write(conn); err != nil {
		t.Fatal(err)
	}
}

// receive reads the head of the response from conn.
func receive(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// Each of two tokens takes 17 s, longer than the read and write timeouts. The caller
// gets the status after 5 s, a comment for each 5 s without a token, so that it can
// distinguish a slow stream from a dead connection, and then the complete stream.
// Timeouts that guard against slow callers must not end a request whose engine is
// slow.
func TestSlowStreamCarriesComments(t *testing.T) {
	f := &fakeRouter{generate: func(ctx context.Context, _ router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
		for i := range 2 {
			select {
			case <-ctx.Done():
				return router.GenerateResult{}, outcome.Uncertain(outcome.ReasonCallerGone, "Gone.")
			case <-time.After(17 * time.Second):
			}
			if err := sink.Token(i, "t"); err != nil {
				return router.GenerateResult{}, outcome.Uncertain(outcome.ReasonCallerGone, "Gone.").WithCause(err)
			}
		}
		return router.GenerateResult{Tokens: 2, Finish: "stop"}, nil
	}}
	inVirtualTime(t, f, Options{}, func(t *testing.T, l *pipeListener) {
		conn := l.dial()
		defer conn.Close()
		began := time.Now()
		send(t, conn, streamBody)
		response := receive(t, conn)
		if took := time.Since(began); took != 5*time.Second {
			t.Errorf("the status was sent after %s", took)
		}
		events, comments := readEvents(t, response.Body)
		if comments != 6 {
			t.Errorf("%d comments, want those at 5, 10, 15, 22, 27 and 32 s", comments)
		}
		if len(events) != 5 || parseChunk(t, events[3].data).Outcome != "complete" {
			t.Errorf("events %q", events)
		}
	})
}

// The caller opens a stream and never reads. Writing a token fails at the deadline,
// which ends the request. Without a deadline the write would hold the engines' slots
// forever.
func TestWriteToSilentCallerEnds(t *testing.T) {
	var failed error
	var cancelled bool
	f := &fakeRouter{generate: func(ctx context.Context, _ router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
		for i := 0; failed == nil && i < 100; i++ {
			failed = sink.Token(i, strings.Repeat("x", 10000))
		}
		cancelled = ctx.Err() != nil
		return router.GenerateResult{}, outcome.Uncertain(outcome.ReasonCallerGone, "Gone.")
	}}
	inVirtualTime(t, f, Options{}, func(t *testing.T, l *pipeListener) {
		conn := l.dial()
		defer conn.Close()
		send(t, conn, streamBody)
		time.Sleep(time.Minute)
		synctest.Wait()
		if failed == nil || !cancelled {
			t.Errorf("write error %v, context cancelled %t", failed, cancelled)
		}
	})
}

// The caller sends only a part of the body. The request is refused as not-run after
// ReadTimeout, and the connection is closed.
func TestIncompleteBodyIsRefused(t *testing.T) {
	inVirtualTime(t, &fakeRouter{}, Options{}, func(t *testing.T, l *pipeListener) {
		conn := l.dial()
		defer conn.Close()
		if _, err := conn.Write([]byte("POST " + pathChat + " HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{")); err != nil {
			t.Fatal(err)
		}
		response := receive(t, conn)
		expectProblem(t, response, http.StatusBadRequest, outcome.NotRun, outcome.ReasonBadRequest)
		if !response.Close {
			t.Error("the connection is kept open although the end of the body is unknown")
		}
	})
}

// The caller requests a response that is not streamed and does not read it. The
// write fails at the deadline and the connection is closed, so that the VM holds no
// resources for it. A caller that reads later gets a truncated response.
func TestWholeAnswerToSilentCallerEnds(t *testing.T) {
	f := &fakeRouter{generate: tokens(strings.Repeat("x", 100000))}
	inVirtualTime(t, f, Options{}, func(t *testing.T, l *pipeListener) {
		conn := l.dial()
		defer conn.Close()
		send(t, conn, strings.Replace(streamBody, "true", "false", 1))
		time.Sleep(time.Minute)
		if answer, err := io.ReadAll(conn); err != nil || len(answer) > 50000 {
			t.Errorf("%d bytes, %v", len(answer), err)
		}
	})
}

// The router panics in the middle of a stream. The caller gets an error chunk and
// the outcome, not an EOF that could be mistaken for the end of the stream.
func TestPanicInOpenStream(t *testing.T) {
	f := &fakeRouter{generate: func(_ context.Context, _ router.GenerateRequest, sink router.TokenSink) (router.GenerateResult, error) {
		_ = sink.Token(0, "a")
		panic("bug")
	}}
	inVirtualTime(t, f, Options{}, func(t *testing.T, l *pipeListener) {
		conn := l.dial()
		defer conn.Close()
		send(t, conn, streamBody)
		events, _ := readEvents(t, receive(t, conn).Body)
		if len(events) != 3 || parseChunk(t, events[2].data).Outcome != "unknown" {
			t.Errorf("events %q", events)
		}
	})
}

// A VM that is not ready still serves requests on kept-alive connections but closes
// the connections, so that the balancer assigns the callers' next ones to other VMs.
func TestUnreadyServerClosesConnections(t *testing.T) {
	f := &fakeRouter{generate: tokens("a")}
	f.unready.Store(true)
	inVirtualTime(t, f, Options{}, func(t *testing.T, l *pipeListener) {
		conn := l.dial()
		defer conn.Close()
		send(t, conn, `{"model":"d","messages":[{"role":"user","content":"x"}]}`)
		if response := receive(t, conn); response.StatusCode != 200 || !response.Close {
			t.Errorf("status %d, close %t", response.StatusCode, response.Close)
		}
	})
}
