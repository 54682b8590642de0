package httpservice

import (
	"cmp"
	"time"
)

// Settings holds the limits of calls. A zero field means its default.
type Settings struct {
	// SilenceTimeout is how long a connection may bring no bytes while a response is awaited.
	SilenceTimeout time.Duration
	// MaxIdleTime is how long after it was opened, or after its last response, a
	// connection may be reused. A connection can fail unnoticed while it is idle.
	MaxIdleTime time.Duration
	// MaxIdlePerPeer bounds the idle connections to one peer.
	MaxIdlePerPeer int
	// MaxBodyBytes bounds the size of a response's body.
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
