package enginesim

import (
	"time"

	"geraniumcroft/internal/engine"
)

// loggedEvent is a cache event with its time.
type loggedEvent struct {
	event engine.CacheEvent
	at    time.Time
}
