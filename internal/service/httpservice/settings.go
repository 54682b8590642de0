package httpservice

import "time"

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
	if s.Silence == 0 {
		s.Silence = DefaultSilence
	}
	if s.ProvenFor == 0 {
		s.ProvenFor = DefaultProvenFor
	}
	if s.MaxKeptPerPeer == 0 {
		s.MaxKeptPerPeer = DefaultMaxKeptPerPeer
	}
	if s.MaxBody == 0 {
		s.MaxBody = DefaultMaxBody
	}
	if s.LoadTimeout == 0 {
		s.LoadTimeout = DefaultLoadTimeout
	}
	return s
}
