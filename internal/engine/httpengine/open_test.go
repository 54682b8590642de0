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

// What an OpenError says decides whether the router may claim that nothing ran.
// Where no connection was made, nothing left; from the moment that one was in
// hand, the engine may have begun, also when it never answered.
func TestAnOpenErrorTellsWhetherTheRequestLeft(t *testing.T) {
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
			untilClosed(in)
		}), true, 0, 2 * time.Second},
		{"head without the ready event", serving(func(p *pipeEngine, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead)
			untilClosed(in)
		}), true, 0, 2 * time.Second},
		{"a token before the ready event", serving(func(p *pipeEngine, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead+`{"kind":"token","requestId":"r","epoch":1}`+"\n")
			untilClosed(in)
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
				open := openErrorOf(t, err)
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

// writeFails is a connection that takes the first request and none after it, as
// one does whose peer reset it while it was idle.
type writeFails struct {
	net.Conn
	writes int
}

func (c *writeFails) Write(p []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return 0, errors.New("reset")
	}
	return c.Conn.Write(p)
}

// An operator's order must not be carried out twice behind the lease holder's
// back. The kept connection dies under the second order. net/http would send it
// again by itself on a new connection if the request let it; the client hands the
// failure up as ambiguous, and the holder reads the engine back instead.
func TestAnOrderIsNotResentOnADeadKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) {
			for p.read(in) {
				send(conn, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.dial(ctx, network, address)
			return &writeFails{Conn: conn}, err
		}
		client := newPipeClient(t, dial)
		if err := client.Order(t.Context(), testAddress, engine.Order{ID: "1"}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait() // the connection is back among the kept ones
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

// The lease holder learns from a refusal that another one took over, and does not
// take a refusal for an order that may have had an effect.
func TestARefusedOrderIsNotAmbiguous(t *testing.T) {
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

// A load report does not come although the kept connection stands: it went silent
// while it was idle. The first request waits its bound, the idle connections to
// this engine are dropped with it, and the next request is answered on a new one.
func TestOneSilentConnectionMakesTheOthersSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeEngine{}
		hold := make(chan struct{})
		p.serve = func(number int, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			if number <= 2 {
				<-hold // both requests are under way, so there are two connections
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
			t.Fatal("an answer from a silent connection")
		}
		if _, err := client.Load(t.Context(), testAddress); err != nil {
			t.Fatalf("the other kept connection was used: %v", err)
		}
		if dials, _ := p.counts(); dials != 3 {
			t.Fatalf("%d dials", dials)
		}
	})
}
