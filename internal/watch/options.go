package watch

import (
	"time"

	"geraniumcroft/internal/config"
)

// Options configure a Watcher.
type Options struct {
	ConfigSource config.Source
	Engines      Engines
	Services     Services
	Sink         Sink
	// IsWatched tells whether this VM sends to the target at all; nil watches all.
	IsWatched func(target string) bool
	// Interval is the time between two readings of one target.
	Interval time.Duration
}
