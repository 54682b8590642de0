package httpservice

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A call must not run twice. The service reads a second call on a reused connection, may
// have run it, and closes the connection without a response. net/http would resend a
// request with an Idempotency-Key; this client sends it once, and the error says that it
// was sent.
func TestCallIsNotResentOnBrokenIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeService{respond: func(number int, _ *http.Request) (string, bool) {
			if number == 1 {
				return completeResponse, true
			}
			return "", false
		}}
		client := newTestClient(t, p.dial)
		if _, err := call(t.Context(), t, client, false); err != nil {
			t.Fatal(err)
		}
		_, err := call(t.Context(), t, client, false)
		failure := asCallError(t, err)
		if !failure.Sent || failure.Silent {
			t.Fatalf("%v, expected a call that was sent and a connection that was closed", err)
		}
		if dials, requests := p.counts(); dials != 1 || requests != 2 {
			t.Fatalf("%d dials, %d requests", dials, requests)
		}
	})
}

// A call that may not be repeated gets a new connection even if there is an idle one, and
// no call gets a connection that has been idle for longer than MaxIdleTime. On a
// connection that went silent while it was idle, a call that could have been refused
// would have an unknown outcome.
func TestOnlyRecentConnectionIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeService{respond: func(int, *http.Request) (string, bool) { return completeResponse, true }}
		client := newTestClient(t, p.dial)
		steps := []struct {
			fresh bool
			after time.Duration
			dials int
		}{
			{false, 0, 1},
			{false, 400 * time.Millisecond, 1}, // within MaxIdleTime
			{true, 0, 2},
			{false, 600 * time.Millisecond, 3}, // the idle connection has expired
		}
		for i, step := range steps {
			time.Sleep(step.after)
			if _, err := call(t.Context(), t, client, step.fresh); err != nil {
				t.Fatal(err)
			}
			if dials, _ := p.counts(); dials != step.dials {
				t.Fatalf("step %d: %d dials, expected %d", i, dials, step.dials)
			}
		}
	})
}

// A service, or a proxy in front of it, may send more bytes than its response has. The
// rest would be read as the response to the next call, so the connection is not reused.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeService{respond: func(int, *http.Request) (string, bool) { return completeResponse + completeResponse, true }}
		client := newTestClient(t, p.dial)
		for want := 1; want <= 2; want++ {
			if _, err := call(t.Context(), t, client, false); err != nil {
				t.Fatal(err)
			}
			if dials, _ := p.counts(); dials != want {
				t.Fatalf("%d dials, expected %d", dials, want)
			}
		}
	})
}

// The service reads a call, and then nothing arrives although the connection stays open.
// Do returns within the silence timeout and reports that the call was sent, so that it
// may have run. Neither this connection nor the idle one to the same service is used
// again, but new connections to the service still are: the service is not treated as
// dead.
func TestSilentConnectionTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := make(chan struct{})
		p := &pipeService{}
		p.respond = func(number int, _ *http.Request) (string, bool) {
			if number == 2 {
				<-silent
			}
			return completeResponse, true
		}
		client := newTestClient(t, p.dial)
		if _, err := call(t.Context(), t, client, true); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		silentConn, err := client.Connect(t.Context(), testAddress, true)
		if err != nil {
			t.Fatal(err)
		}
		// Keep the first connection from expiring while the second is silent.
		client.settings.MaxIdleTime, client.idle.settings.MaxIdleTime = time.Hour, time.Hour
		idle, err := client.Connect(t.Context(), testAddress, false)
		if err != nil {
			t.Fatal(err)
		}
		idle.Release()
		_, err = silentConn.Do(t.Context(), testCall)
		failure := asCallError(t, err)
		if !failure.Sent || !failure.Silent {
			t.Fatalf("%v, expected silence after the call was sent", err)
		}
		if took := time.Since(start); took != time.Second {
			t.Fatalf("timed out after %s of virtual time", took)
		}
		close(silent)
		if _, err := call(t.Context(), t, client, false); err != nil {
			t.Fatal(err)
		}
		if dials, _ := p.counts(); dials != 3 {
			t.Fatalf("%d dials: the idle connection was used after another one had been silent", dials)
		}
	})
}

// A response that is truncated, too large or without a stated length must be an error:
// the caller must not take a part of a response for the complete one.
func TestIncompleteResponseIsAnError(t *testing.T) {
	cases := map[string]string{
		"nothing":              "",
		"half a head":          "HTTP/1.1 200 OK\r\nRequest-",
		"a cut body":           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
		"a cut chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"no last chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no stated length":     "HTTP/1.1 200 OK\r\n\r\nok",
		"a body too large":     "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + string(make([]byte, 1001)),
		"a head too large":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\nok",
		"interim answers only": "HTTP/1.1 102 Processing\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pipeService{respond: func(int, *http.Request) (string, bool) { return text, false }}
				response, err := call(t.Context(), t, newTestClient(t, p.dial), true)
				if err == nil {
					t.Fatalf("accepted as a response: %+v", response)
				}
				if failure := asCallError(t, err); !failure.Sent {
					t.Fatalf("%v, but the call was sent", err)
				}
			})
		})
	}
}

func TestCompleteResponseIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen http.Header
		p := &pipeService{respond: func(_ int, req *http.Request) (string, bool) {
			seen = req.Header
			return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nRequest-Id: r\r\nGeraniumcroft-Not-Run: true\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true
		}}
		response, err := call(t.Context(), t, newTestClient(t, p.dial), true)
		if err != nil {
			t.Fatal(err)
		}
		if response.Status != 503 || !response.NotRun || response.RequestID != "r" || string(response.Body) != "ok" {
			t.Fatalf("%+v", response)
		}
		if seen.Get(HeaderRequestID) != "r" || seen.Get(HeaderIdempotencyKey) != "k" {
			t.Fatalf("request header %v", seen)
		}
	})
}

// The caller's context is canceled, or its deadline passes, while the service works. Do
// returns at once and reports that the call was sent.
func TestContextEndAbortsCall(t *testing.T) {
	for name, end := range map[string]struct {
		after  time.Duration
		cause  error
		silent bool
	}{
		"cancel":   {100 * time.Millisecond, context.Canceled, false},
		"deadline": {300 * time.Millisecond, context.DeadlineExceeded, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				release := make(chan struct{})
				defer close(release)
				p := &pipeService{respond: func(int, *http.Request) (string, bool) {
					<-release
					return "", false
				}}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if end.silent {
					ctx, cancel = context.WithTimeout(t.Context(), end.after)
					defer cancel()
				} else {
					time.AfterFunc(end.after, cancel)
				}
				start := time.Now()
				_, err := call(ctx, t, newTestClient(t, p.dial), true)
				failure := asCallError(t, err)
				if took := time.Since(start); took != end.after {
					t.Fatalf("took %s of virtual time", took)
				}
				if !failure.Sent || failure.Silent != end.silent || !errors.Is(err, end.cause) {
					t.Fatalf("%v (sent %t, silent %t)", err, failure.Sent, failure.Silent)
				}
			})
		})
	}
}

// brokenConn is a connection whose writes fail.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, errors.New("reset") }

// Only a call of which no byte was sent may be reported as not run: no connection was
// made, or the first write failed.
func TestUnsentCallIsReportedAsUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
		_, err := newTestClient(t, refuse).Connect(t.Context(), testAddress, true)
		if failure := asCallError(t, err); failure.Sent {
			t.Fatalf("%v, but there was no connection", err)
		}
		p := &pipeService{}
		broken := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.dial(ctx, network, address)
			return brokenConn{conn}, err
		}
		_, err = call(t.Context(), t, newTestClient(t, broken), true)
		if failure := asCallError(t, err); failure.Sent {
			t.Fatalf("%v, but no byte was sent", err)
		}
	})
}

// A Conn carries one call. A second call on the same Conn would race with the response of
// another call on the underlying connection.
func TestConnCarriesOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeService{respond: func(int, *http.Request) (string, bool) { return completeResponse, true }}
		client := newTestClient(t, p.dial)
		conn, err := client.Connect(t.Context(), testAddress, true)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Do(t.Context(), testCall); err != nil {
			t.Fatal(err)
		}
		conn.Release()
		_, err = conn.Do(t.Context(), testCall)
		if failure := asCallError(t, err); failure.Sent || !errors.Is(err, errUsed) {
			t.Fatalf("%v", err)
		}
	})
}
