package httpservice

import (
	"cmp"
	"time"
)

// Settings bound calls. A zero field takes its default.
type Settings struct {
	// SilenceTimeout is how long a connection may bring nothing while a response is awaited.
	SilenceTimeout time.Duration
	// MaxIdleTime is how long after an answer a connection counts as proven.
	MaxIdleTime time.Duration
	// MaxIdlePerPeer bounds the kept connections to one peer.
	MaxIdlePerPeer int
	// MaxBodyBytes bounds a response's body in bytes.
	MaxBodyBytes int64
	// LoadTimeout bounds a request for a load report.
	LoadTimeout time.Duration
}

// The defaults of Settings.
const (
	DefaultSilenceTimeout = 5 * time.Second
	DefaultMaxIdleTime    = time.Second
	DefaultMaxIdlePerPeer = 4
	DefaultMaxBodyBytes   = 4 << 20
	DefaultLoadTimeout    = 2 * time.Second
)

// WithDefaults returns s with its zero fields filled in.
func (s Settings) WithDefaults() Settings {
	s.SilenceTimeout = cmp.Or(s.SilenceTimeout, DefaultSilenceTimeout)
	s.MaxIdleTime = cmp.Or(s.MaxIdleTime, DefaultMaxIdleTime)
	s.MaxIdlePerPeer = cmp.Or(s.MaxIdlePerPeer, DefaultMaxIdlePerPeer)
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, DefaultMaxBodyBytes)
	s.LoadTimeout = cmp.Or(s.LoadTimeout, DefaultLoadTimeout)
	return s
}
