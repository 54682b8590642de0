package experiment

import (
	"fmt"
	"io"
	"time"
)

// The defaults and bounds of Options.
const (
	DefaultRepeat   = 3
	MaxRepeat       = 100
	DefaultDuration = 8 * time.Second
	MaxDuration     = 10 * time.Minute
	DefaultSeed     = 1
)

// Options bound an experiment. A zero field takes its default.
type Options struct {
	// Repeat is the number of times that the whole experiment is done, each on a
	// fleet of its own.
	Repeat int
	// Duration is how long each measured phase of one repeat is under load.
	Duration time.Duration
	// Seed fixes arrivals and prompts.
	Seed uint64
	// Progress takes a line after each repeat; nil discards them.
	Progress io.Writer
}

func (o Options) withDefaults() Options {
	if o.Repeat <= 0 {
		o.Repeat = DefaultRepeat
	}
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Seed == 0 {
		o.Seed = DefaultSeed
	}
	o.Repeat = min(o.Repeat, MaxRepeat)
	o.Duration = min(o.Duration, MaxDuration)
	return o
}

func (o Options) progress(format string, args ...any) {
	if o.Progress != nil {
		_, _ = fmt.Fprintf(o.Progress, format+"\n", args...)
	}
}
