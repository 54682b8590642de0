package engine

// CacheEvents is a part of an engine's log of changes to its prefix cache.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Gap says that the engine has dropped events between the requested sequence number
	// and the first of Events.
	Gap bool `json:"gap,omitempty"`
}

// CacheEvent reports that a prefix was cached or, with Evict, evicted.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Prefix is a hash as PrefixHashes returns it.
	Prefix uint64 `json:"prefix"`
	Evict  bool   `json:"evict,omitempty"`
}
