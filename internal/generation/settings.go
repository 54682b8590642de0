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

// Settings are the timeouts and limits of runs. A zero field takes its default.
type Settings struct {
	// OpenTimeout bounds opening one stage.
	OpenTimeout time.Duration
	// ReconnectTimeout bounds opening a stage whose last stream went silent, or which was
	// not opened in the epoch before although this time had passed.
	ReconnectTimeout time.Duration
	// FirstTokenTimeout bounds the wait for an epoch's first token, including replay.
	FirstTokenTimeout time.Duration
	// InterTokenTimeout bounds the wait for each later token.
	InterTokenTimeout time.Duration
	// CancelTimeout bounds one cancel of an old epoch.
	CancelTimeout time.Duration
	// RetryPause is the pause before excluded targets are tried again. It doubles each
	// time up to MaxRetryPause.
	RetryPause    time.Duration
	MaxRetryPause time.Duration
	// MaxRecoveries bounds the consecutive failures that a run recovers from without a
	// token in between. With the pauses between them, a range of layers may be without
	// an engine for about ten seconds. The deadline bounds this time as well.
	MaxRecoveries int
	// MaxEpochs bounds the epochs of a run, except those that ended because an engine
	// had no free slot. It thus bounds failures and preemptions together.
	MaxEpochs int
	// MaxCancels bounds the cancels of old epochs in progress on this VM.
	MaxCancels int
	// OnRecovered, if not nil, is called with the duration of each recovery, from the
	// failure of a stage to the next token.
	OnRecovered func(took time.Duration)
	// OnStaleEvent, if not nil, is called for each event of an older epoch that was
	// dropped. It must not block.
	OnStaleEvent func()
}

// WithDefaults returns s with its zero fields set to the defaults.
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
