// Package experimentcmd implements the command "experiment", which measures the system.
package experimentcmd

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
	"geraniumcroft/internal/harness/experiment"
)

// Register adds the command to c.
func Register(c *subcommands.Commander) {
	c.Register(&command{}, "trying")
}

// command implements "experiment".
type command struct {
	list    bool
	json    bool
	options experiment.Options
}

// Name implements subcommands.Command.
func (*command) Name() string { return "experiment" }

// Synopsis implements subcommands.Command.
func (*command) Synopsis() string { return "measure the system on a fleet in this one process" }

// Usage implements subcommands.Command.
func (*command) Usage() string {
	return `experiment -list
experiment [-repeat N] [-duration D] [-seed N] [-json] NAME...:
  Starts routers and stand-ins on loopback addresses, puts them under load, lets
  things fail and prints figures with their spread over the repeats. Exits 1 when
  an experiment could not be done; a figure that misses its limit is only marked.
`
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.list, "list", false, "list the experiments")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.IntVar(&c.options.Repeat, "repeat", experiment.DefaultRepeat, "times that an experiment is done")
	f.DurationVar(&c.options.Duration, "duration", experiment.DefaultDuration, "time under load in each phase of a repeat")
	f.Uint64Var(&c.options.Seed, "seed", experiment.DefaultSeed, "seed of arrivals and prompts")
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.list {
		list()
		return exit.Done
	}
	chosen, err := choose(f.Args())
	if err != nil {
		return exit.ReportUsageError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	c.options.Progress = os.Stderr
	for _, e := range chosen {
		if err := c.run(ctx, e); err != nil {
			return exit.ReportFailure(err)
		}
	}
	return exit.Done
}

func (c *command) run(ctx context.Context, e experiment.Experiment) error {
	report, err := e.Run(ctx, c.options)
	if err != nil {
		return err
	}
	if c.json {
		return report.WriteJSON(os.Stdout)
	}
	return report.WriteText(os.Stdout)
}

func list() {
	for _, e := range experiment.All() {
		fmt.Printf("%-12s %s\n", e.Name, e.Synopsis)
	}
}

func choose(names []string) ([]experiment.Experiment, error) {
	if len(names) == 0 {
		return nil, fmt.Errorf("name an experiment; -list shows them")
	}
	var chosen []experiment.Experiment
	for _, name := range names {
		e, ok := experiment.Find(name)
		if !ok {
			return nil, fmt.Errorf("there is no experiment %q; -list shows them", name)
		}
		chosen = append(chosen, e)
	}
	return chosen, nil
}
