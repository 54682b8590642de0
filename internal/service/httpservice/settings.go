package httpservice

import (
	"cmp"
	"time"
)

// Settings bound calls. A zero field takes its default.
type Settings struct {
	// Silence is how long a connection may bring nothing while a response is awaited.
	Silence time.Duration
	// ProvenFor is how long after an answer a connection counts as proven.
	ProvenFor time.Duration
	// MaxKeptPerPeer bounds the kept connections to one peer.
	MaxKeptPerPeer int
	// MaxBody bounds a response's body in bytes.
	MaxBody int64
	// LoadTimeout bounds a request for a load report.
	LoadTimeout time.Duration
}

// The defaults of Settings.
const (
	DefaultSilence        = 5 * time.Second
	DefaultProvenFor      = time.Second
	DefaultMaxKeptPerPeer = 4
	DefaultMaxBody        = 4 << 20
	DefaultLoadTimeout    = 2 * time.Second
)

// WithDefaults returns s with its zero fields filled in.
func (s Settings) WithDefaults() Settings {
	s.Silence = cmp.Or(s.Silence, DefaultSilence)
	s.ProvenFor = cmp.Or(s.ProvenFor, DefaultProvenFor)
	s.MaxKeptPerPeer = cmp.Or(s.MaxKeptPerPeer, DefaultMaxKeptPerPeer)
	s.MaxBody = cmp.Or(s.MaxBody, DefaultMaxBody)
	s.LoadTimeout = cmp.Or(s.LoadTimeout, DefaultLoadTimeout)
	return s
}
