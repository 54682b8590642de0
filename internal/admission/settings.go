package admission

import (
	"cmp"
	"time"
)

// The values that a zero field of Settings takes.
const (
	DefaultMaxQueued             = 1024
	DefaultMaxQueuedPerWorkspace = 256
	DefaultMaxWait               = time.Minute
	DefaultNormalPerBulk         = 16
	DefaultStarvedInterval       = 100 * time.Millisecond
	DefaultReviewInterval        = 100 * time.Millisecond
)

// Settings bound the queues. A zero field takes its default.
type Settings struct {
	// MaxQueued bounds the requests queued for one pool.
	MaxQueued int
	// MaxQueuedPerWorkspace bounds one workspace's requests queued for one pool.
	MaxQueuedPerWorkspace int
	// MaxWait bounds the time in a queue.
	MaxWait time.Duration
	// NormalPerBulk is how many normal requests may start before one waiting bulk
	// request gets a turn; it gets none while an urgent request waits.
	NormalPerBulk int
	// StarvedInterval is the time between two calls of the OnStarved function for
	// an urgent request that still waits.
	StarvedInterval time.Duration
	// ReviewInterval is the least time between two reviews of a queue for requests
	// whose deadline can no longer be met.
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
