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

// A stream must not wait for longer than SilenceTimeout, so that the router can continue the
// response from another engine in time. The engine sends two heartbeats, then the connection
// goes silent without a reset, so that without the time limit the read would never return.
// The engine does not count as failed: a new stream to it can be opened.
func TestSilentStreamTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead+readyLine)
			for range 2 {
				time.Sleep(900 * time.Millisecond)
				send(conn, `{"kind":"heartbeat","requestId":"r","epoch":1}`+"\n")
			}
			waitClosed(in)
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
			t.Fatalf("timed out after %s of virtual time", waited)
		}
		again, err := client.Open(t.Context(), testAddress, testOpen)
		if err != nil {
			t.Fatal(err)
		}
		again.Close()
		time.Sleep(3 * time.Second) // virtual time; the engine's end detects that it was closed
	})
}

// A slow caller still gets its complete response. The router does not call Recv for longer
// than SilenceTimeout while the engine's tokens wait in the connection. This is not silence:
// the time limit only applies to waits for bytes.
func TestSlowReaderIsNotReportedAsSilent(t *testing.T) {
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

// The caller's context is canceled while the engine sends nothing. The pending read returns
// at once, and the engine's end of the connection is closed, which frees the slot. The error
// does not report silence, so the cancel does not count as a failure of the engine.
func TestCancelEndsRecvAndClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan struct{})
		p := &pipeEngine{}
		p.serve = func(_ int, conn net.Conn, in *bufio.Reader) {
			p.read(in)
			send(conn, streamHead+readyLine)
			waitClosed(in)
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

// An engine that sends an endless line must not exhaust the router's memory.
func TestEventSizeIsBounded(t *testing.T) {
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
