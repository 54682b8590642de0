package security

import (
	"time"

	"go.uber.org/zap"
)

// Options configures how files are watched.
type Options struct {
	// Logger may be nil for no logging.
	Logger *zap.Logger
	// PollInterval is the time between two checks of the files; 0 selects the default of 10 s.
	PollInterval time.Duration
	// OnReload, if not nil, is called with the result of each reload.
	OnReload func(error)
	// pollOnly disables file system notifications. It is for tests.
	pollOnly bool
}

func (o Options) logger() *zap.Logger {
	if o.Logger == nil {
		return zap.NewNop()
	}
	return o.Logger
}

func (o Options) pollInterval() time.Duration {
	if o.PollInterval == 0 {
		return defaultPollInterval
	}
	return o.PollInterval
}
