package watch

import (
	"time"

	"geraniumcroft/internal/config"
)

// Options configure a Watcher.
type Options struct {
	Source   config.Source
	Engines  Engines
	Services Services
	Sink     Sink
	// Watched tells whether this VM sends to the target at all; nil watches all.
	Watched func(target string) bool
	// Interval is the time between two readings of one target.
	Interval time.Duration
}
