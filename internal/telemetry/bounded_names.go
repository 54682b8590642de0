package telemetry

import (
	"maps"
	"sync"
	"sync/atomic"
)

// boundedNames gives each key a value, made once; keys beyond the limit share one.
// A look-up is one atomic read and does not allocate.
type boundedNames[K comparable, V any] struct {
	limit int
	build func(K) V
	other V

	known atomic.Pointer[map[K]V]
	mu    sync.Mutex // serialises additions
}

func newBoundedNames[K comparable, V any](limit int, other K, build func(K) V) *boundedNames[K, V] {
	n := &boundedNames[K, V]{limit: limit, build: build, other: build(other)}
	n.known.Store(&map[K]V{other: n.other})
	return n
}

func (n *boundedNames[K, V]) get(key K) V {
	known := *n.known.Load()
	if value, ok := known[key]; ok {
		return value
	}
	if len(known) > n.limit {
		return n.other
	}
	return n.add(key)
}

func (n *boundedNames[K, V]) add(key K) V {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := *n.known.Load()
	if value, ok := known[key]; ok {
		return value
	}
	if len(known) > n.limit {
		return n.other
	}
	next := maps.Clone(known)
	next[key] = n.build(key)
	n.known.Store(&next)
	return next[key]
}
