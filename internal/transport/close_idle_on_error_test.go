package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// All open connections to the store go silent while new ones work. The VM has two of them
// idle. Its first call ends at its time limit; the second must not be put on the other silent
// connection, or a configuration that was accepted meanwhile waits for both.
func TestOneSilentConnectionCostsOneTimeLimit(t *testing.T) {
	const idle = 2
	s := newSilencing()
	server := httptest.NewServer(s)
	defer server.Close()
	defer s.release()
	client := &http.Client{Transport: CloseIdleOnError(&http.Transport{})}
	s.openIdle(t, client, server.URL, idle)
	s.silence()
	failed := 0
	for range 1 + idle {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if err := get(ctx, client, server.URL); err != nil {
			failed++
		}
		cancel()
	}
	if failed != 1 {
		t.Errorf("%d calls got no answer", failed)
	}
}

func get(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// silencing is a server on which connections can go silent.
type silencing struct {
	mu sync.Mutex // guards the fields below
	// known are the peers' addresses of the connections that are open.
	known  map[string]bool
	silent map[string]bool
	// arrived counts requests; all wait for the gate while it is closed.
	arrived chan struct{}
	gate    chan struct{}
	ended   chan struct{}
}

func newSilencing() *silencing {
	return &silencing{known: map[string]bool{}, silent: map[string]bool{}, arrived: make(chan struct{}, 16), gate: make(chan struct{}), ended: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *silencing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.known[r.RemoteAddr] = true
	silent := s.silent[r.RemoteAddr]
	s.mu.Unlock()
	if silent {
		<-s.ended
		return
	}
	s.arrived <- struct{}{}
	<-s.gate
}

// openIdle leaves so many connections open and idle.
func (s *silencing) openIdle(t *testing.T, client *http.Client, url string, n int) {
	var asking sync.WaitGroup
	for range n {
		asking.Go(func() {
			if err := get(t.Context(), client, url); err != nil {
				t.Error(err)
			}
		})
	}
	for range n {
		<-s.arrived
	}
	close(s.gate)
	asking.Wait()
}

// silence makes all open connections silent.
func (s *silencing) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.known {
		s.silent[address] = true
	}
}

// release ends the requests that were never answered.
func (s *silencing) release() { close(s.ended) }
