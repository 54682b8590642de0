package causescmd

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"geraniumcroft/internal/causes"
	"geraniumcroft/internal/cli/exit"
)

const (
	// defaultObjective and defaultGap apply to profiles that state none.
	defaultObjective = 500 * time.Millisecond
	defaultGap       = 250 * time.Millisecond
	// defaultSpan is the length of time that a row of the table over time covers.
	defaultSpan = 2 * time.Second
	// standardInput is the file name that stands for standard input.
	standardInput = "-"
)

// Command implements "causes".
type Command struct {
	since, until, profile string
	objective, gap, span  time.Duration
	json                  bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "causes" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "print where requests were lost, from the logs of VMs" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `causes [FLAGS] FILE...:
  Reads the logs of any number of VMs, plain or gzip, "-" for standard input, and prints
  how many requests were refused, late, broken off or failed, why, where and when, with
  three ids of each cause for "explain".
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.since, "since", "", "count requests that arrived from this time on, as 2006-01-02T15:04:05Z")
	f.StringVar(&c.until, "until", "", "count requests that arrived before this time")
	f.StringVar(&c.profile, "profile", "", "count this profile's requests only")
	f.DurationVar(&c.objective, "objective", defaultObjective, "time to the answer or first event, for profiles that state none")
	f.DurationVar(&c.gap, "gap", defaultGap, "longest pause between two events, for profiles that state none")
	f.DurationVar(&c.span, "span", defaultSpan, "length of a row of the table over time")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	filter, err := c.filter()
	if err != nil {
		return exit.ReportUsageError(err)
	}
	if f.NArg() == 0 || c.span <= 0 {
		return exit.ReportUsageError(errors.New("at least one file is needed, and a span above zero"))
	}
	aggregator := causes.New(causes.Limits{Objective: c.objective, Gap: c.gap}, filter, c.span)
	for _, name := range f.Args() {
		if err := readLog(aggregator, name); err != nil {
			return exit.ReportFailure(errors.Wrap(err, name))
		}
	}
	if err := c.print(os.Stdout, aggregator.Report()); err != nil {
		return exit.ReportFailure(err)
	}
	return exit.Done
}

func (c *Command) filter() (causes.Filter, error) {
	filter := causes.Filter{Profile: c.profile}
	for _, bound := range []struct {
		text   string
		parsed *time.Time
	}{{c.since, &filter.Since}, {c.until, &filter.Until}} {
		if bound.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, bound.text)
		if err != nil {
			return filter, errors.Wrap(err, "time not read")
		}
		*bound.parsed = at
	}
	return filter, nil
}

func readLog(aggregator *causes.Aggregator, name string) error {
	if name == standardInput {
		return aggregator.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	return aggregator.Read(file)
}

func (c *Command) print(out io.Writer, report causes.Report) error {
	if !c.json {
		return report.Print(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
