package transport

import "testing"

// Suspecting one peer must not cost the others their kept connections, so each
// has a transport of its own, and no call waits for another one's connection.
func TestPeersHaveTheirOwnConnections(t *testing.T) {
	pool := NewPool(Settings{}, nil)
	defer pool.Close()
	first := pool.Kept("192.0.2.1:80")
	if pool.Kept("192.0.2.1:80") != first {
		t.Error("connections are not kept")
	}
	if pool.Kept("192.0.2.2:80") == first {
		t.Error("peers share a transport")
	}
}
