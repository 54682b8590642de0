package experiment

import (
	"fmt"
	"io"
	"time"
)

// Defaults and maximums of Options.
const (
	DefaultRepeat   = 3
	MaxRepeat       = 100
	DefaultDuration = 8 * time.Second
	MaxDuration     = 10 * time.Minute
	DefaultSeed     = 1
)

// Options configures an experiment. A field that is 0 has its default. Repeat and Duration
// are reduced to MaxRepeat and MaxDuration.
type Options struct {
	// Repeat is the number of times that the experiment is run, each with a new fleet.
	Repeat int
	// Duration is the time under load of each measured phase of a repeat.
	Duration time.Duration
	// Seed is the seed of the first repeat's random numbers, such as arrival times.
	Seed uint64
	// Progress receives a line after each repeat; nil discards them.
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
