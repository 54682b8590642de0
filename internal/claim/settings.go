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

// Settings configures a Claims. A field that is zero or negative takes its default, if
// it has one.
type Settings struct {
	// Retention is how long a key is kept after its request's deadline. It is raised to
	// LongestDeadline if it is below.
	Retention time.Duration
	// LongestDeadline is the longest deadline that any profile allows.
	LongestDeadline time.Duration
	// Timeout bounds the writing of one claim or end row.
	Timeout time.Duration
	// RetryAfter is the delay that callers receive with failures for which a retry can
	// help.
	RetryAfter time.Duration
	// Ungrouped writes each row in a transaction of its own.
	Ungrouped bool
	// Linger is how long a group waits for more rows before it reserves its write; 0
	// means not at all. Rows that arrive while the write is being reserved join the
	// group in any case.
	Linger time.Duration
	// MaxGroup and MaxGroupBytes bound the number of rows in one transaction and the
	// total size of their values.
	MaxGroup      int
	MaxGroupBytes int
	// MaxInFlight is the maximum number of groups in flight.
	MaxInFlight int
	// MaxQueued is the maximum number of rows that wait for a group. A quarter of it is
	// reserved for urgent rows.
	MaxQueued int
}

// withDefaults returns the settings with their defaults filled in.
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
