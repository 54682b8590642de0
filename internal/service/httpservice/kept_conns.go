package httpservice

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// keptConns holds connections that answered a moment ago. It is safe for
// concurrent use.
type keptConns struct {
	settings Settings

	mu     sync.Mutex // guards the field below
	byPeer map[string][]*conn
}

func newKeptConns(s Settings) *keptConns {
	return &keptConns{settings: s, byPeer: map[string][]*conn{}}
}

// take removes and returns the connection that answered last, nil without one.
func (k *keptConns) take(address string) *conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.byPeer[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	k.set(address, list[:len(list)-1])
	if !last.expiry.Stop() {
		return nil // it expires at this moment
	}
	return last
}

// put keeps a connection until it no longer counts as proven.
func (k *keptConns) put(c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.byPeer[c.address]
	if len(list) >= k.settings.MaxIdlePerPeer {
		c.wire.Close()
		return
	}
	left := k.settings.MaxIdleTime - time.Since(c.provenAt)
	c.expiry = time.AfterFunc(left, func() { k.expire(c) })
	k.set(c.address, append(list, c))
}

func (k *keptConns) expire(c *conn) {
	c.wire.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.byPeer[c.address]
	for i, kept := range list {
		if kept == c {
			k.set(c.address, append(list[:i:i], list[i+1:]...))
			return
		}
	}
}

func (k *keptConns) drop(address string) {
	k.mu.Lock()
	list := k.byPeer[address]
	delete(k.byPeer, address)
	k.mu.Unlock()
	for _, c := range list {
		c.expiry.Stop()
		c.wire.Close()
	}
}

func (k *keptConns) dropAll() {
	k.mu.Lock()
	peers := slices.Collect(maps.Keys(k.byPeer))
	k.mu.Unlock()
	for _, address := range peers {
		k.drop(address)
	}
}

func (k *keptConns) set(address string, list []*conn) {
	if len(list) == 0 {
		delete(k.byPeer, address)
		return
	}
	k.byPeer[address] = list
}
