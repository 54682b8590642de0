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
	// IsWatched reports whether this VM sends requests to the target, and so watches it. If
	// nil, all targets are watched.
	IsWatched func(target string) bool
	// Interval is the time between two readings of a target.
	Interval time.Duration
}
