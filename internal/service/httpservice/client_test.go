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

// A desk's hold must not be confirmed twice. The service reads the second call on
// a kept connection, may have run it, and closes without an answer. net/http would
// send a call with an Idempotency-Key again by itself; here the service sees it
// once, and the error says that it left.
func TestACallIsNotResentOnADeadKeptConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeService{answer: func(number int, _ *http.Request) (string, bool) {
			if number == 1 {
				return wholeAnswer, true
			}
			return "", false
		}}
		client := newTestClient(t, p.dial)
		if _, err := call(t.Context(), t, client, false); err != nil {
			t.Fatal(err)
		}
		_, err := call(t.Context(), t, client, false)
		failure := callErrorOf(t, err)
		if !failure.Sent || failure.Silent {
			t.Fatalf("%v, expected a call that left and a connection that broke", err)
		}
		if dials, requests := p.counts(); dials != 1 || requests != 2 {
			t.Fatalf("%d dials, %d requests", dials, requests)
		}
	})
}

// A call that may not be repeated goes on a connection made for it, also when a
// kept one is at hand, and one that was kept longer than it counts as proven is
// not used by any call: a connection that went silent while it was idle would
// turn a refusal into an unknown outcome.
func TestOnlyAProvenConnectionIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeService{answer: func(int, *http.Request) (string, bool) { return wholeAnswer, true }}
		client := newTestClient(t, p.dial)
		steps := []struct {
			fresh bool
			after time.Duration
			dials int
		}{
			{false, 0, 1},
			{false, 400 * time.Millisecond, 1}, // proven a moment ago
			{true, 0, 2},
			{false, 600 * time.Millisecond, 3}, // no longer proven
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

// A service, or a proxy before it, sends more than the answer that it announced. The
// rest would be read as the next call's answer, so the connection is not used again.
func TestAConnectionWithBytesLeftIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeService{answer: func(int, *http.Request) (string, bool) { return wholeAnswer + wholeAnswer, true }}
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

// The caller gets a truthful answer within the bound. The service has read the
// call, and then nothing arrives although the connection stands. The call left,
// so it may have run; the connection is not used again and neither is the one
// that was kept beside it, but the service itself is not declared dead.
func TestASilentConnectionIsFoundWithinItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := make(chan struct{})
		p := &pipeService{}
		p.answer = func(number int, _ *http.Request) (string, bool) {
			if number == 2 {
				<-silent
			}
			return wholeAnswer, true
		}
		client := newTestClient(t, p.dial)
		if _, err := call(t.Context(), t, client, true); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		held, err := client.Connect(t.Context(), testAddress, true)
		if err != nil {
			t.Fatal(err)
		}
		// Keep the first connection proven while the second is silent.
		client.settings.MaxIdleTime, client.kept.settings.MaxIdleTime = time.Hour, time.Hour
		kept, err := client.Connect(t.Context(), testAddress, false)
		if err != nil {
			t.Fatal(err)
		}
		kept.Release()
		_, err = held.Do(t.Context(), testCall)
		failure := callErrorOf(t, err)
		if !failure.Sent || !failure.Silent {
			t.Fatalf("%v, expected silence after the call left", err)
		}
		if took := time.Since(start); took != time.Second {
			t.Fatalf("found after %s of virtual time", took)
		}
		close(silent)
		if _, err := call(t.Context(), t, client, false); err != nil {
			t.Fatal(err)
		}
		if dials, _ := p.counts(); dials != 3 {
			t.Fatalf("%d dials: the connection beside the silent one was used", dials)
		}
	})
}

// Whatever ends a call before its whole response, the caller must not take a part
// of an answer for the answer.
func TestAPartOfAResponseIsNoAnswer(t *testing.T) {
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
				p := &pipeService{answer: func(int, *http.Request) (string, bool) { return text, false }}
				response, err := call(t.Context(), t, newTestClient(t, p.dial), true)
				if err == nil {
					t.Fatalf("taken for an answer: %+v", response)
				}
				if failure := callErrorOf(t, err); !failure.Sent {
					t.Fatalf("%v, but the call left", err)
				}
			})
		})
	}
}

func TestAWholeResponseIsHandedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen http.Header
		p := &pipeService{answer: func(_ int, req *http.Request) (string, bool) {
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

// The caller goes away, or its deadline passes, while the service works. Do
// returns at once and says that the call left.
func TestTheEndOfTheContextEndsTheCall(t *testing.T) {
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
				p := &pipeService{answer: func(int, *http.Request) (string, bool) {
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
				failure := callErrorOf(t, err)
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

// brokenConn is a connection that takes no byte.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, errors.New("reset") }

// A caller whose call did not leave may be told "not run": no connection was made,
// or the connection took not one byte.
func TestNothingIsSentWithoutAConnectionThatTakesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
		_, err := newTestClient(t, refuse).Connect(t.Context(), testAddress, true)
		if failure := callErrorOf(t, err); failure.Sent {
			t.Fatalf("%v, but there was no connection", err)
		}
		p := &pipeService{}
		broken := func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := p.dial(ctx, network, address)
			return brokenConn{conn}, err
		}
		_, err = call(t.Context(), t, newTestClient(t, broken), true)
		if failure := callErrorOf(t, err); failure.Sent {
			t.Fatalf("%v, but no byte left", err)
		}
	})
}

// A connection carries one call. A second call on the same handle would race the
// response of the first.
func TestAHandleCarriesOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeService{answer: func(int, *http.Request) (string, bool) { return wholeAnswer, true }}
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
		if failure := callErrorOf(t, err); failure.Sent || !errors.Is(err, errUsed) {
			t.Fatalf("%v", err)
		}
	})
}
