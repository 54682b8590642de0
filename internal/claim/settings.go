package claim

import "time"

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
	defaultTo(&s.LongestDeadline, DefaultLongestDeadline)
	defaultTo(&s.Retention, DefaultRetention)
	s.Retention = max(s.Retention, s.LongestDeadline)
	defaultTo(&s.Timeout, DefaultTimeout)
	defaultTo(&s.RetryAfter, DefaultRetryAfter)
	defaultTo(&s.MaxGroup, DefaultMaxGroup)
	defaultTo(&s.MaxGroupBytes, DefaultMaxGroupBytes)
	defaultTo(&s.MaxInFlight, DefaultMaxInFlight)
	defaultTo(&s.MaxQueued, DefaultMaxQueued)
	return s
}

func defaultTo[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
