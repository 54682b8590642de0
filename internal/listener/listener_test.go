package listener

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a VM that reads requests which it has no processor time to serve: a caller whose connection
// is closed unread tries another VM, also with a request that must not run twice.
func TestSaturatedListenerClosesNewConnectionsUnread(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var saturated atomic.Bool
	var served atomic.Int32
	listener := New(inner.(*net.TCPListener), 100)
	listener.Saturated = saturated.Load
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	get := func(client *http.Client) error {
		resp, err := client.Post(server.URL, "text/plain", strings.NewReader("x"))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return err
	}
	kept, fresh := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if err := errors.Join(get(kept), get(fresh)); err != nil {
		t.Fatal(err)
	}
	saturated.Store(true)
	for range 10 {
		if get(fresh) == nil {
			t.Error("a new connection was served under overload")
		}
	}
	if err := get(kept); err != nil || served.Load() != 3 {
		t.Errorf("open connection under overload: %v; %d requests served", err, served.Load())
	}
	saturated.Store(false)
	if err := get(fresh); err != nil {
		t.Errorf("after the overload: %v", err)
	}
	if n := listener.Declined(); n != 10 {
		t.Errorf("%d connections counted as closed unread", n)
	}
}
