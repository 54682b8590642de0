package enginesim

import (
	"time"

	"geraniumcroft/internal/engine"
)

// loggedEvent is a cache event and when it happened.
type loggedEvent struct {
	event engine.CacheEvent
	at    time.Time
}
