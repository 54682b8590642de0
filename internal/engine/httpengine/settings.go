package httpengine

import (
	"cmp"
	"time"
)

// Settings holds the limits of streams and calls. A zero field means its default.
type Settings struct {
	// OpenTimeout bounds the time from Open to the ready event.
	OpenTimeout time.Duration
	// SilenceTimeout is how long a stream may bring nothing, not even a heartbeat.
	SilenceTimeout time.Duration
	// ControlTimeout bounds every call that is not a stream.
	ControlTimeout time.Duration
	// MaxEventBytes bounds the size of one event.
	MaxEventBytes int
}

// The defaults of Settings.
const (
	DefaultOpenTimeout    = 2 * time.Second
	DefaultSilenceTimeout = 750 * time.Millisecond
	DefaultControlTimeout = 2 * time.Second
	DefaultMaxEventBytes  = 256 << 10
)

// WithDefaults returns s with its zero fields filled in.
func (s Settings) WithDefaults() Settings {
	s.OpenTimeout = cmp.Or(s.OpenTimeout, DefaultOpenTimeout)
	s.SilenceTimeout = cmp.Or(s.SilenceTimeout, DefaultSilenceTimeout)
	s.ControlTimeout = cmp.Or(s.ControlTimeout, DefaultControlTimeout)
	s.MaxEventBytes = cmp.Or(s.MaxEventBytes, DefaultMaxEventBytes)
	return s
}
