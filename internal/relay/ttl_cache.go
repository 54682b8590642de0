package relay

import (
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// ttlCache shares the responses of replicas among streams. Concurrent fetches from one address are
// merged into one, and a value is reused until it expires. It is safe for concurrent use.
type ttlCache[T any] struct {
	flights singleflight.Group

	mu     sync.Mutex // guards the field below
	cached map[string]ttlEntry[T]
}

type ttlEntry[T any] struct {
	value   T
	expires time.Time
}

func newTTLCache[T any]() *ttlCache[T] {
	return &ttlCache[T]{cached: map[string]ttlEntry[T]{}}
}

// get returns the value of an address and whether there is one that has not expired.
func (c *ttlCache[T]) get(address string) (T, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.cached[address]
	return cached.value, ok && time.Now().Before(cached.expires)
}

// put stores a value for the given time and removes expired values.
func (c *ttlCache[T]) put(address string, value T, ttl time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, cached := range c.cached {
		if !now.Before(cached.expires) {
			delete(c.cached, other)
		}
	}
	c.cached[address] = ttlEntry[T]{value: value, expires: now.Add(ttl)}
}

// do calls fetch, merged with concurrent calls for the same address.
func (c *ttlCache[T]) do(address string, fetch func() (T, error)) (T, error) {
	value, err, _ := c.flights.Do(address, func() (any, error) { return fetch() })
	return value.(T), err
}
