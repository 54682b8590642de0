package watch

import "geraniumcroft/internal/engine"

// Sink takes what was read.
type Sink interface {
	Report(target string, r engine.LoadReport)
	// CacheCursor says from which event on to ask, and whether the answer is the
	// engine's whole view, for CacheView, or a continuation, for CacheEvents.
	CacheCursor(target string) (after uint64, whole bool)
	CacheEvents(target string, e engine.CacheEvents)
	CacheView(target string, e engine.CacheEvents)
}
