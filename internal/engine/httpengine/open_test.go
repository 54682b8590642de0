package httpengine

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/engine"
)

// An OpenError decides whether the router may report that nothing ran. Without a
// connection, nothing was sent. Once there was one, the engine may have started, even if it
// never answered.
func TestOpenErrorSaysWhetherRequestWasSent(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	hang := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	serving := func(serve func(p *pipeEngine, conn net.Conn, in *bufio.Reader)) func(context.Context, string, string) (net.Conn, error) {
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) { serve(p, conn, in) }
		return p.dial
	}
	cases := []struct {
		name   string
		dial   func(context.Context, string, string) (net.Conn, error)
		sent   bool
		status int
		takes  time.Duration
	}{
		{"connection refused", refuse, false, 0, 0},
		{"handshake without an answer", hang, false, 0, 2 * time.Second},
		{"closed after the request", serving(func(p *pipeEngine, _ net.Conn, in *bufio.Reader) { p.read(in) }), true, 0, 0},
		{"no answer at all", serving(func(p *pipeEngine, _ net.Conn, in *bufio.Reader) {
			p.read(in)
			waitClosed(in)
		}), true, 0, 2 * time.Second},
		{"head without the ready event", serving(func(p *pipeEngine, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead)
			waitClosed(in)
		}), true, 0, 2 * time.Second},
		{"a token before the ready event", serving(func(p *pipeEngine, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead+`{"kind":"token","requestId":"r","epoch":1}`+"\n")
			waitClosed(in)
		}), true, 0, 0},
		{"busy", serving(func(p *pipeEngine, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: 15\r\n\r\n{\"code\":\"busy\"}")
		}), true, http.StatusConflict, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				_, err := newPipeClient(t, c.dial).Open(t.Context(), testAddress, testOpen)
				open := asOpenError(t, err)
				if open.Sent != c.sent || open.Status != c.status {
					t.Fatalf("sent %t, status %d: %v", open.Sent, open.Status, err)
				}
				if took := time.Since(start); took != c.takes {
					t.Fatalf("took %s of virtual time", took)
				}
				var refused *RefusedError
				if c.status != 0 && (!errors.As(err, &refused) || refused.Code != CodeBusy) {
					t.Fatalf("%v is not the refusal", err)
				}
			})
		})
	}
}

// failingConn is a connection on which every write after the first fails, as if its peer
// had reset it while it was idle.
type failingConn struct {
	net.Conn
	writes int
}

func (c *failingConn) Write(p []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return 0, errors.New("reset")
	}
	return c.Conn.Write(p)
}

// An order must not be executed twice without the lease holder's knowledge. The kept-alive
// connection fails when the second order is written. net/http would resend the order on a
// new connection if the request had GetBody; the client returns an ambiguous error instead,
// upon which the holder reads the engine's state.
func TestOrderIsNotResentOnBrokenIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) {
			for p.read(in) {
				send(conn, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.dial(ctx, network, address)
			return &failingConn{Conn: conn}, err
		}
		client := newPipeClient(t, dial)
		if err := client.Order(t.Context(), testAddress, engine.Order{ID: "1"}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait() // the connection is idle again
		err := client.Order(t.Context(), testAddress, engine.Order{ID: "2"})
		var order *engine.OrderError
		if !errors.As(err, &order) || !order.Ambiguous || order.OldFencing {
			t.Fatalf("%v, expected an ambiguous order", err)
		}
		if dials, requests := p.counts(); dials != 1 || requests != 1 {
			t.Fatalf("%d dials, %d requests", dials, requests)
		}
	})
}

// A refusal is not ambiguous, since a refused order has no effect. Its code tells the lease
// holder that another one has taken over.
func TestRefusedOrderIsNotAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, "HTTP/1.1 409 Conflict\r\nContent-Length: 22\r\n\r\n{\"code\":\"old-fencing\"}")
		}
		err := newPipeClient(t, p.dial).Order(t.Context(), testAddress, engine.Order{ID: "1"})
		var order *engine.OrderError
		if !errors.As(err, &order) || order.Ambiguous || !order.OldFencing {
			t.Fatalf("%v, expected old fencing", err)
		}
	})
}

// A kept-alive connection went silent while it was idle, so a request for a load report gets
// no response on it. When this request times out, the other idle connections to the engine
// are dropped as well, and the next request is answered on a new connection.
func TestSilentConnectionDropsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeEngine{}
		hold := make(chan struct{})
		p.serve = func(number int, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			if number <= 2 {
				<-hold // both requests are in flight, so there are two connections
			}
			send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			for p.read(in) {
				if number > 2 {
					send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
				}
			}
		}
		client := newPipeClient(t, p.dial)
		results := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := client.Load(context.Background(), testAddress)
				results <- err
			}()
		}
		synctest.Wait()
		close(hold)
		for range 2 {
			if err := <-results; err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if _, err := client.Load(t.Context(), testAddress); err == nil {
			t.Fatal("a response on a silent connection")
		}
		if _, err := client.Load(t.Context(), testAddress); err != nil {
			t.Fatalf("the other idle connection was used: %v", err)
		}
		if dials, _ := p.counts(); dials != 3 {
			t.Fatalf("%d dials", dials)
		}
	})
}
