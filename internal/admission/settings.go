package admission

import (
	"cmp"
	"time"
)

// Default values of the fields of Settings.
const (
	DefaultMaxQueued             = 1024
	DefaultMaxQueuedPerWorkspace = 256
	DefaultMaxWait               = time.Minute
	DefaultNormalPerBulk         = 16
	DefaultStarvedInterval       = 100 * time.Millisecond
	DefaultReviewInterval        = 100 * time.Millisecond
)

// Settings holds the limits and intervals of a Controller. A field that is not positive
// takes its default.
type Settings struct {
	// MaxQueued limits the requests queued for one pool.
	MaxQueued int
	// MaxQueuedPerWorkspace limits the requests of one workspace queued for one pool.
	MaxQueuedPerWorkspace int
	// MaxWait limits the time in a queue.
	MaxWait time.Duration
	// NormalPerBulk is the number of normal requests that start before one waiting
	// bulk request may start ahead of normal ones. It may not while an urgent request
	// waits.
	NormalPerBulk int
	// StarvedInterval is the time between two calls of the OnStarved function for an
	// urgent request that still waits.
	StarvedInterval time.Duration
	// ReviewInterval is the minimum time between two reviews of a queue for requests whose
	// deadlines can no longer be met.
	ReviewInterval time.Duration

	faults faults
}

func (s Settings) withDefaults() Settings {
	s.MaxQueued = cmp.Or(max(s.MaxQueued, 0), DefaultMaxQueued)
	s.MaxQueuedPerWorkspace = cmp.Or(max(s.MaxQueuedPerWorkspace, 0), DefaultMaxQueuedPerWorkspace)
	s.MaxWait = cmp.Or(max(s.MaxWait, 0), DefaultMaxWait)
	s.NormalPerBulk = cmp.Or(max(s.NormalPerBulk, 0), DefaultNormalPerBulk)
	s.StarvedInterval = cmp.Or(max(s.StarvedInterval, 0), DefaultStarvedInterval)
	s.ReviewInterval = cmp.Or(max(s.ReviewInterval, 0), DefaultReviewInterval)
	return s
}
