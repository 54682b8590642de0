package telemetry

import (
	"maps"
	"sync"
	"sync/atomic"
)

// boundedMap maps each key to a value that is built at its first use. Keys beyond the limit
// share the value of the key other. A lookup of a known key is one atomic read and does not
// allocate. It is safe for concurrent use.
type boundedMap[K comparable, V any] struct {
	limit int
	build func(K) V
	other V

	known atomic.Pointer[map[K]V]
	mu    sync.Mutex // serializes additions
}

func newBoundedMap[K comparable, V any](limit int, other K, build func(K) V) *boundedMap[K, V] {
	m := &boundedMap[K, V]{limit: limit, build: build, other: build(other)}
	m.known.Store(&map[K]V{other: m.other})
	return m
}

func (m *boundedMap[K, V]) get(key K) V {
	known := *m.known.Load()
	if value, ok := known[key]; ok {
		return value
	}
	if len(known) > m.limit {
		return m.other
	}
	return m.add(key)
}

func (m *boundedMap[K, V]) add(key K) V {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := *m.known.Load()
	if value, ok := known[key]; ok {
		return value
	}
	if len(known) > m.limit {
		return m.other
	}
	next := maps.Clone(known)
	next[key] = m.build(key)
	m.known.Store(&next)
	return next[key]
}
