package claim

import (
	"cmp"
	"time"
)

// The defaults of Settings.
const (
	DefaultRetention       = 24 * time.Hour
	DefaultLongestDeadline = 15 * time.Minute
	DefaultTimeout         = 2 * time.Second
	DefaultRetryAfter      = time.Second
	DefaultMaxGroup        = 64
	DefaultMaxGroupBytes   = 256 << 10
	DefaultMaxInFlight     = 2
	DefaultMaxQueued       = 4096
)

// Settings of a Claims. A zero field takes its default.
type Settings struct {
	// Retention is how long a key is remembered after its request's deadline. It is
	// raised to LongestDeadline where it is below.
	Retention time.Duration
	// LongestDeadline is the longest that any profile allows.
	LongestDeadline time.Duration
	// Timeout bounds one write of a claim or an end.
	Timeout time.Duration
	// RetryAfter is what callers are told where a retry can help.
	RetryAfter time.Duration
	// Ungrouped writes each claim in a transaction of its own.
	Ungrouped bool
	// Linger is how long a group waits for more claims before it takes its turn; 0 is
	// not at all. Claims that come while it waits for its turn join it anyway.
	Linger time.Duration
	// MaxGroup and MaxGroupBytes bound one transaction.
	MaxGroup      int
	MaxGroupBytes int
	// MaxInFlight bounds the groups under way at once.
	MaxInFlight int
	// MaxQueued bounds the claims that wait for a group.
	MaxQueued int
}

func (s Settings) withDefaults() Settings {
	s.LongestDeadline = cmp.Or(max(s.LongestDeadline, 0), DefaultLongestDeadline)
	s.Retention = cmp.Or(max(s.Retention, 0), DefaultRetention)
	s.Retention = max(s.Retention, s.LongestDeadline)
	s.Timeout = cmp.Or(max(s.Timeout, 0), DefaultTimeout)
	s.RetryAfter = cmp.Or(max(s.RetryAfter, 0), DefaultRetryAfter)
	s.MaxGroup = cmp.Or(max(s.MaxGroup, 0), DefaultMaxGroup)
	s.MaxGroupBytes = cmp.Or(max(s.MaxGroupBytes, 0), DefaultMaxGroupBytes)
	s.MaxInFlight = cmp.Or(max(s.MaxInFlight, 0), DefaultMaxInFlight)
	s.MaxQueued = cmp.Or(max(s.MaxQueued, 0), DefaultMaxQueued)
	return s
}
