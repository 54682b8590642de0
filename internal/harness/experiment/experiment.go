package experiment

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Experiment is a named measurement.
type Experiment struct {
	Name     string
	Synopsis string
	run      func(context.Context, *Trial) error
}

// All returns all experiments, in the order of the documentation of the measurements.
func All() []Experiment {
	return []Experiment{
		{"overhead", "the router's own cost against calling the stand-in directly", overhead},
		{"relay", "processor time a relayed token, and memory of a stream in hand", relay},
		{"urgent", "urgent requests beside bulk of twice the capacity, against an idle system and the baseline", urgent},
		{"saturation", "tokens a second of a full mixed graph against its max-flow bound", saturation},
		{"recovery", "stages and instances that die or fall silent in the middle of work, and lost answers", recovery},
		{"slow", "one engine and one instance ten times slower than the others", slow},
		{"change", "changes and drains until they are in force on 6 VMs, past outages and silence", change},
		{"baseline", "urgent and recovery in one report, each beside the baseline", compareWithBaseline},
		{"takeover", "the duties of a VM that is killed, or stopped in order", takeover},
		{"sizes", "the two users of today: 40 + 3 replicas, 6 VMs; deaths under load, and every slot wanted", sizes},
	}
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}

// Run repeats the experiment and returns its figures. After an error it returns the figures
// so far and the error.
func (e Experiment) Run(ctx context.Context, o Options) (*Report, error) {
	o = o.withDefaults()
	report := newReport(e.Name, o)
	started := time.Now()
	for repeat := range o.Repeat {
		trial := &Trial{Duration: o.Duration, Seed: o.Seed + uint64(repeat), report: report}
		if err := e.run(ctx, trial); err != nil {
			return report, errors.Wrapf(err, "%s, repeat %d", e.Name, repeat+1)
		}
		o.progress("%s: repeat %d of %d done", e.Name, repeat+1, o.Repeat)
	}
	report.TookSeconds = time.Since(started).Seconds()
	return report, nil
}
