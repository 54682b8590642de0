package transport

import "testing"

// An urgent request that shares a connection with a bulk one waits for the bulk
// one's bytes, whatever the queues before the connection say.
func TestClassesAndPeersHaveTheirOwnConnections(t *testing.T) {
	pool := NewPool(Settings{}, nil)
	defer pool.Close()
	first := pool.Kept(ClassBulk, "192.0.2.1:80")
	if pool.Kept(ClassBulk, "192.0.2.1:80") != first {
		t.Error("connections are not kept")
	}
	if pool.Kept(ClassUrgent, "192.0.2.1:80") == first || pool.Kept(ClassControl, "192.0.2.1:80") == first {
		t.Error("classes share connections")
	}
	if pool.Kept(ClassBulk, "192.0.2.2:80") == first {
		t.Error("peers share a transport, so that suspecting one drops the connections of the other")
	}
}
