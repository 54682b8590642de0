package httpservice

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// idleConns holds idle connections until they expire. It is safe for concurrent use.
type idleConns struct {
	settings Settings

	mu     sync.Mutex // guards the field below
	byPeer map[string][]*conn
}

func newIdleConns(s Settings) *idleConns {
	return &idleConns{settings: s, byPeer: map[string][]*conn{}}
}

// take removes and returns the connection to the peer that was added last. It returns nil
// if there is none.
func (ic *idleConns) take(address string) *conn {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	list := ic.byPeer[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	ic.setList(address, list[:len(list)-1])
	if !last.expiry.Stop() {
		return nil // expire is already running for it
	}
	return last
}

// put adds a connection until MaxIdleTime after its last activity. It closes the
// connection if the peer has MaxIdlePerPeer already.
func (ic *idleConns) put(c *conn) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	list := ic.byPeer[c.address]
	if len(list) >= ic.settings.MaxIdlePerPeer {
		c.transportConn.Close()
		return
	}
	remaining := ic.settings.MaxIdleTime - time.Since(c.lastActive)
	c.expiry = time.AfterFunc(remaining, func() { ic.expire(c) })
	ic.setList(c.address, append(list, c))
}

// expire closes a connection and removes it.
func (ic *idleConns) expire(c *conn) {
	c.transportConn.Close()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	list := ic.byPeer[c.address]
	for i, idle := range list {
		if idle == c {
			ic.setList(c.address, append(list[:i:i], list[i+1:]...))
			return
		}
	}
}

// closeAllTo closes and removes all connections to a peer.
func (ic *idleConns) closeAllTo(address string) {
	ic.mu.Lock()
	list := ic.byPeer[address]
	delete(ic.byPeer, address)
	ic.mu.Unlock()
	for _, c := range list {
		c.expiry.Stop()
		c.transportConn.Close()
	}
}

// closeAll closes and removes all connections.
func (ic *idleConns) closeAll() {
	ic.mu.Lock()
	peers := slices.Collect(maps.Keys(ic.byPeer))
	ic.mu.Unlock()
	for _, address := range peers {
		ic.closeAllTo(address)
	}
}

// setList replaces a peer's connections. The caller must hold mu.
func (ic *idleConns) setList(address string, list []*conn) {
	if len(list) == 0 {
		delete(ic.byPeer, address)
		return
	}
	ic.byPeer[address] = list
}
