package admission

import "time"

// The values that a zero field of Settings takes.
const (
	DefaultMaxQueued             = 1024
	DefaultMaxQueuedPerWorkspace = 256
	DefaultMaxWait               = time.Minute
	DefaultBulkTurn              = 16
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
	// BulkTurn is how many normal requests may start before one waiting bulk
	// request gets a turn; it gets none while an urgent request waits.
	BulkTurn int
	// StarvedInterval is the time between two calls of the OnStarved function for
	// an urgent request that still waits.
	StarvedInterval time.Duration
	// ReviewInterval is the least time between two reviews of a queue for requests
	// whose deadline can no longer be met.
	ReviewInterval time.Duration

	faults faults
}

// faults take safeguards away, so that tests can show that they notice.
type faults struct {
	noPriority bool
	noFairness bool
	noReview   bool
	noGates    bool
}

func (s Settings) withDefaults() Settings {
	if s.MaxQueued <= 0 {
		s.MaxQueued = DefaultMaxQueued
	}
	if s.MaxQueuedPerWorkspace <= 0 {
		s.MaxQueuedPerWorkspace = DefaultMaxQueuedPerWorkspace
	}
	if s.MaxWait <= 0 {
		s.MaxWait = DefaultMaxWait
	}
	if s.BulkTurn <= 0 {
		s.BulkTurn = DefaultBulkTurn
	}
	if s.StarvedInterval <= 0 {
		s.StarvedInterval = DefaultStarvedInterval
	}
	if s.ReviewInterval <= 0 {
		s.ReviewInterval = DefaultReviewInterval
	}
	return s
}
