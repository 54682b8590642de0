package engine

// CacheEvents is a part of an engine's log of cached prefixes.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Gap says that events between the asked one and the first were dropped.
	Gap bool `json:"gap,omitempty"`
}

// CacheEvent says that a prefix was cached or evicted.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Evict  bool   `json:"evict,omitempty"`
}
