package reach

import (
	"maps"
	"sync"
	"time"
)

const (
	// firstDetour is how long connections to a replica that only peers reach are tried through a peer
	// first. It doubles with each further time in a row, up to maxDetour.
	firstDetour = time.Second
	maxDetour   = 8 * time.Second
	// unreachedTTL is how long no peer is asked for a replica that neither this VM nor a peer reached.
	unreachedTTL = 500 * time.Millisecond
	// maxRoutes bounds the replicas that are remembered.
	maxRoutes = 1024
)

// Routes records which replicas only peers reach, and which nobody does. It is safe for concurrent
// use.
type Routes struct {
	mu     sync.Mutex // guards the field below
	routes map[string]*route
}

// route is what is known about the ways to one replica.
type route struct {
	detours     int
	detourUntil time.Time
	// unreachedUntil is until when no peer is asked.
	unreachedUntil time.Time
}

// NewRoutes returns Routes that try all replicas directly first.
func NewRoutes() *Routes { return &Routes{routes: map[string]*route{}} }

// PeerFirst reports whether a connection to a replica is tried through a peer first.
func (r *Routes) PeerFirst(address string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.routes[address]
	return found != nil && now.Before(found.detourUntil)
}

// AskPeer reports whether a peer is to be asked for a replica.
func (r *Routes) AskPeer(address string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.routes[address]
	return found == nil || !now.Before(found.unreachedUntil)
}

// RecordDirect records that this VM reached a replica by itself.
func (r *Routes) RecordDirect(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.routes, address)
}

// RecordDetour records that a peer reached a replica which this VM had not reached.
func (r *Routes) RecordDetour(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.route(address, now)
	if now.Before(found.detourUntil) {
		return
	}
	found.detourUntil = now.Add(min(maxDetour, firstDetour<<min(found.detours, 8)))
	found.detours++
}

// RecordUnreached records that neither this VM nor a peer reached a replica.
func (r *Routes) RecordUnreached(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route(address, now).unreachedUntil = now.Add(unreachedTTL)
}

// route returns the entry of a replica. r.mu is held.
func (r *Routes) route(address string, now time.Time) *route {
	if found := r.routes[address]; found != nil {
		return found
	}
	if len(r.routes) >= maxRoutes {
		maps.DeleteFunc(r.routes, func(_ string, old *route) bool {
			return now.Sub(old.detourUntil) > maxDetour && now.After(old.unreachedUntil)
		})
	}
	if len(r.routes) >= maxRoutes {
		clear(r.routes)
	}
	created := &route{}
	r.routes[address] = created
	return created
}

// Detours returns the number of replicas that are tried through a peer first.
func (r *Routes) Detours(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	detours := 0
	for _, found := range r.routes {
		if now.Before(found.detourUntil) {
			detours++
		}
	}
	return detours
}
