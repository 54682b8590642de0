package security

import (
	"time"

	"go.uber.org/zap"
)

// Options say how files are watched.
type Options struct {
	// Logger may be nil.
	Logger *zap.Logger
	// PollInterval is the time between two looks at the files; 0 takes the default.
	PollInterval time.Duration
	// OnReload, when not nil, is told the result of each reload.
	OnReload func(error)
	// pollOnly is for tests: the system gives no notices.
	pollOnly bool
}

func (o Options) logger() *zap.Logger {
	if o.Logger == nil {
		return zap.NewNop()
	}
	return o.Logger
}

func (o Options) poll() time.Duration {
	if o.PollInterval == 0 {
		return pollInterval
	}
	return o.PollInterval
}
