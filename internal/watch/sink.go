package watch

import "geraniumcroft/internal/engine"

// Sink receives what was read. Its methods are called concurrently.
type Sink interface {
	// Report receives the load report of a target.
	Report(target string, r engine.LoadReport)
	// CacheCursor returns the number of the event after which to read, and whether the
	// result is the engine's whole cache view, which is passed to CacheView. Otherwise it
	// continues the known events and is passed to CacheEvents.
	CacheCursor(target string) (after uint64, whole bool)
	// CacheEvents receives the events after the cursor.
	CacheEvents(target string, e engine.CacheEvents)
	// CacheView receives the whole view of an engine's cache.
	CacheView(target string, e engine.CacheEvents)
}
