package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// All open connections to the store go silent while new ones work. The VM has two idle ones.
// The first call runs into its timeout. The second must not use the other silent connection,
// since that would delay a configuration change by a second timeout.
func TestOneSilentConnectionCostsOneTimeLimit(t *testing.T) {
	const idle = 2
	s := newSilencingServer()
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
		t.Errorf("%d calls timed out, want 1", failed)
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

// silencingServer is a handler that can stop responding on the connections that are open.
type silencingServer struct {
	mu sync.Mutex // guards the fields below
	// seen holds the remote addresses of all connections, silent those that get no response.
	seen   map[string]bool
	silent map[string]bool
	// arrived receives a value per request. Requests then wait until gate is closed.
	arrived chan struct{}
	gate    chan struct{}
	// released is closed to end the requests on silent connections.
	released chan struct{}
}

func newSilencingServer() *silencingServer {
	return &silencingServer{seen: map[string]bool{}, silent: map[string]bool{}, arrived: make(chan struct{}, 16), gate: make(chan struct{}), released: make(chan struct{})}
}

// ServeHTTP implements http.Handler.
func (s *silencingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.seen[r.RemoteAddr] = true
	silent := s.silent[r.RemoteAddr]
	s.mu.Unlock()
	if silent {
		<-s.released
		return
	}
	s.arrived <- struct{}{}
	<-s.gate
}

// openIdle opens n connections and leaves them idle.
func (s *silencingServer) openIdle(t *testing.T, client *http.Client, url string, n int) {
	var requests sync.WaitGroup
	for range n {
		requests.Go(func() {
			if err := get(t.Context(), client, url); err != nil {
				t.Error(err)
			}
		})
	}
	for range n {
		<-s.arrived
	}
	close(s.gate)
	requests.Wait()
}

// silence makes all connections that are open now silent.
func (s *silencingServer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.seen {
		s.silent[address] = true
	}
}

// release ends the requests on silent connections.
func (s *silencingServer) release() { close(s.released) }
