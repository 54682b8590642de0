package generation

import (
	"cmp"
	"time"
)

// The defaults of Settings.
const (
	DefaultOpenTimeout       = 2 * time.Second
	DefaultReconnectTimeout  = 200 * time.Millisecond
	DefaultFirstTokenTimeout = 10 * time.Second
	DefaultInterTokenTimeout = 2 * time.Second
	DefaultCancelTimeout     = time.Second
	DefaultRetryPause        = 50 * time.Millisecond
	DefaultMaxRetryPause     = time.Second
	DefaultMaxRecoveries     = 32
	DefaultMaxEpochs         = 64
	DefaultMaxCancels        = 256
)

// Settings bound what a run may take. A zero field takes its default.
type Settings struct {
	// OpenTimeout bounds the opening of one stage.
	OpenTimeout time.Duration
	// ReconnectTimeout bounds the opening of a stage whose last stream went silent, or
	// which had as much time already and did not open.
	ReconnectTimeout time.Duration
	// FirstTokenTimeout bounds the wait for an epoch's first token, replay included.
	FirstTokenTimeout time.Duration
	// InterTokenTimeout bounds the wait for each token after it.
	InterTokenTimeout time.Duration
	// CancelTimeout bounds the cancel of an old epoch.
	CancelTimeout time.Duration
	// RetryPause is waited before excluded targets are tried again; it doubles up to
	// MaxRetryPause.
	RetryPause    time.Duration
	MaxRetryPause time.Duration
	// MaxRecoveries bounds the failures in a row that one run gets over without a
	// token in between. With the pauses between them a range of layers may be without
	// any engine for some ten seconds; the deadline bounds the wait as well.
	MaxRecoveries int
	// MaxEpochs bounds failures and preemptions together.
	MaxEpochs int
	// MaxCancels bounds the cancels of old epochs under way on this VM.
	MaxCancels int
	// OnRecovered, when not nil, is told how long each recovery took, from the moment
	// that a stage failed to the next token.
	OnRecovered func(took time.Duration)
	// OnStaleEvent, when not nil, is told of each event of an older epoch that was
	// dropped; it must not block.
	OnStaleEvent func()
}

// WithDefaults returns s with its zero fields filled in.
func (s Settings) WithDefaults() Settings {
	s.OpenTimeout = cmp.Or(s.OpenTimeout, DefaultOpenTimeout)
	s.ReconnectTimeout = cmp.Or(s.ReconnectTimeout, DefaultReconnectTimeout)
	s.FirstTokenTimeout = cmp.Or(s.FirstTokenTimeout, DefaultFirstTokenTimeout)
	s.InterTokenTimeout = cmp.Or(s.InterTokenTimeout, DefaultInterTokenTimeout)
	s.CancelTimeout = cmp.Or(s.CancelTimeout, DefaultCancelTimeout)
	s.RetryPause = cmp.Or(s.RetryPause, DefaultRetryPause)
	s.MaxRetryPause = cmp.Or(s.MaxRetryPause, DefaultMaxRetryPause)
	s.MaxRecoveries = cmp.Or(s.MaxRecoveries, DefaultMaxRecoveries)
	s.MaxEpochs = cmp.Or(s.MaxEpochs, DefaultMaxEpochs)
	s.MaxCancels = cmp.Or(s.MaxCancels, DefaultMaxCancels)
	return s
}
