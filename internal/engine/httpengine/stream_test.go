package httpengine

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/engine"
)

// The caller sees its answer go on from another engine within the bound. The
// engine sends two heartbeats, then the connection goes silent without a reset:
// the read would never return, and only the bound on it tells the router. The
// engine is not blamed: a new stream to it opens.
func TestASilentStreamIsFoundWithinItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead+readyLine)
			for range 2 {
				time.Sleep(900 * time.Millisecond)
				send(conn, `{"kind":"heartbeat","requestId":"r","epoch":1}`+"\n")
			}
			untilClosed(in)
		}
		client := newPipeClient(t, p.dial)
		stream, err := client.Open(t.Context(), testAddress, testOpen)
		if err != nil {
			t.Fatal(err)
		}
		for _, kind := range []engine.EventKind{engine.EventReady, engine.EventHeartbeat, engine.EventHeartbeat} {
			event, err := stream.Recv()
			if err != nil || event.Kind != kind {
				t.Fatalf("%+v, %v, expected %s", event, err, kind)
			}
		}
		last := time.Now()
		_, err = stream.Recv()
		var broken *engine.StreamError
		if !errors.As(err, &broken) || !broken.Silent {
			t.Fatalf("%v, expected silence", err)
		}
		if waited := time.Since(last); waited != time.Second {
			t.Fatalf("found after %s of virtual time", waited)
		}
		again, err := client.Open(t.Context(), testAddress, testOpen)
		if err != nil {
			t.Fatal(err)
		}
		again.Close()
		time.Sleep(3 * time.Second) // virtual: the engine's end sends on and notices
	})
}

// The caller reads slowly and still gets its whole answer. The router does not
// call Recv for longer than the bound while the engine's tokens wait in the
// connection: that is no silence, as the bound covers waits for bytes alone.
func TestASlowReaderIsNotASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead+readyLine)
			for range 3 {
				send(conn, `{"kind":"token","requestId":"r","epoch":1,"text":"x"}`+"\n")
			}
			send(conn, `{"kind":"done","requestId":"r","epoch":1,"finish":"length"}`+"\n")
		}
		stream, err := newPipeClient(t, p.dial).Open(t.Context(), testAddress, testOpen)
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		for _, kind := range []engine.EventKind{engine.EventReady, engine.EventToken, engine.EventToken, engine.EventToken, engine.EventDone} {
			time.Sleep(5 * time.Second)
			event, err := stream.Recv()
			if err != nil || event.Kind != kind {
				t.Fatalf("%+v, %v, expected %s", event, err, kind)
			}
		}
		var broken *engine.StreamError
		if _, err := stream.Recv(); !errors.As(err, &broken) || broken.Silent {
			t.Fatalf("after the end: %v", err)
		}
	})
}

// The caller goes away while the engine is quiet. Its context ends, the read that
// waits returns at once, and the engine's end of the connection closes, which
// frees the slot. Nothing is reported as silent, so the engine is not blamed.
func TestACancelEndsTheReadAndClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan struct{})
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead+readyLine)
			untilClosed(in)
			close(closed)
		}
		ctx, cancel := context.WithCancel(t.Context())
		stream, err := newPipeClient(t, p.dial).Open(ctx, testAddress, testOpen)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); err != nil {
			t.Fatal(err)
		}
		cancel()
		var broken *engine.StreamError
		if _, err := stream.Recv(); !errors.As(err, &broken) || broken.Silent || !errors.Is(err, context.Canceled) {
			t.Fatalf("%v, expected the cancel", err)
		}
		<-closed
	})
}

// A stage whose engine sends an endless line must not eat the router's memory.
func TestAnEventHasABoundedSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead+readyLine)
			for range 4 * DefaultMaxEventBytes / 1024 {
				if _, err := conn.Write(make([]byte, 1024)); err != nil {
					return
				}
			}
		}
		stream, err := newPipeClient(t, p.dial).Open(t.Context(), testAddress, testOpen)
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		_, _ = stream.Recv()
		if _, err := stream.Recv(); !errors.Is(err, errEventTooLarge) {
			t.Fatalf("%v, expected the bound", err)
		}
	})
}
