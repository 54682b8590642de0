// Package loadcmd implements the command "load", which sends load to routers and checks the
// answers.
package loadcmd

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
	"geraniumcroft/internal/harness/loadgen"
)

// command implements "load".
type command struct {
	options  loadgen.Options
	routers  string
	keyFile  string
	jsonFile string
	plotFile string
	compare  bool
}

// Register adds the command to c.
func Register(c *subcommands.Commander) {
	c.Register(&command{}, "trying")
}

// Name implements subcommands.Command.
func (*command) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*command) Synopsis() string { return "send load to routers, check and time the answers" }

// Usage implements subcommands.Command.
func (*command) Usage() string {
	return `load -routers IP:PORT[,IP:PORT...] -profile SPEC [-profile SPEC...] [flags]
load -compare FIRST.json SECOND.json:
  Sends requests at the given rate whether or not earlier ones were answered, and
  counts latency from the intended time of sending. A SPEC is
  name=NAME[,kind=chat|call][,share=N][,prompt=N][,tokens=N]; a %d in the name takes
  the number of a workspace. Exits 1 if an answer fails a check.
`
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	o := &c.options
	f.StringVar(&c.routers, "routers", "", "callers' addresses of the routers, IP:port, separated by commas")
	f.Func("profile", "a part of the mix (may be repeated)", c.addProfile)
	f.Float64Var(&o.Rate, "rate", loadgen.DefaultRate, "arrivals a second")
	f.IntVar(&o.Count, "count", 0, "end after this many arrivals")
	f.DurationVar(&o.Duration, "duration", loadgen.DefaultDuration, "end after this time")
	f.DurationVar(&o.Timeout, "timeout", loadgen.DefaultTimeout, "give a request up after this time")
	f.IntVar(&o.MaxInFlight, "max-in-flight", loadgen.DefaultMaxInFlight, "bound on requests in hand")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals, mix and lengths")
	f.IntVar(&o.Workspaces, "workspaces", loadgen.DefaultWorkspaces, "number of workspaces, for a %d in a profile's name")
	f.Float64Var(&o.Skew, "skew", loadgen.DefaultSkew, "exponent of the Zipf distribution of the workspaces' sizes")
	f.StringVar(&c.keyFile, "key-file", "", "file with the bearer key to send")
	f.BoolVar(&o.AnyText, "any-text", false, "do not check the tokens' text, which only the stand-in numbers")
	f.BoolVar(&o.AllowRemote, "allow-remote", false, "allow routers that are not on a loopback address")
	f.StringVar(&c.jsonFile, "json", "", "write the report as JSON to this file")
	f.StringVar(&c.plotFile, "plot", "", "draw the latencies to this file, .svg or .png")
	f.BoolVar(&c.compare, "compare", false, "compare two reports instead of sending load")
}

func (c *command) addProfile(text string) error {
	profile, err := loadgen.ParseProfile(text)
	if err == nil {
		c.options.Profiles = append(c.options.Profiles, profile)
	}
	return err
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.compare {
		return compare(f.Args())
	}
	if err := c.prepare(f.Args()); err != nil {
		return exit.ReportUsageError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := loadgen.Run(ctx, c.options)
	if err != nil {
		return exit.ReportFailure(err)
	}
	if err := c.write(result); err != nil {
		return exit.ReportFailure(err)
	}
	if result.FaultCount() > 0 || result.Requests == 0 {
		return exit.Fail
	}
	return exit.Done
}

func (c *command) prepare(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("load takes no arguments without -compare: %v", args)
	}
	if c.routers != "" {
		c.options.Routers = strings.Split(c.routers, ",")
	}
	if c.keyFile != "" {
		key, err := os.ReadFile(c.keyFile)
		if err != nil {
			return err
		}
		c.options.BearerKey = strings.TrimSpace(string(key))
	}
	return c.options.Check()
}

func (c *command) write(result *loadgen.Report) error {
	if err := result.WriteText(os.Stdout); err != nil {
		return err
	}
	if c.plotFile != "" {
		if err := result.SavePlot(c.plotFile); err != nil {
			return err
		}
	}
	if c.jsonFile == "" {
		return nil
	}
	file, err := os.Create(c.jsonFile)
	if err != nil {
		return err
	}
	if err := result.WriteJSON(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func compare(files []string) subcommands.ExitStatus {
	const numReports = 2
	if len(files) != numReports {
		return exit.ReportUsageError(fmt.Errorf("load -compare needs two reports, got %d", len(files)))
	}
	var reports [numReports]*loadgen.Report
	for i, file := range files {
		report, err := loadgen.ReadJSON(file)
		if err != nil {
			return exit.ReportUsageError(err)
		}
		reports[i] = report
	}
	if err := loadgen.Compare(os.Stdout, reports[0], reports[1]); err != nil {
		return exit.ReportFailure(err)
	}
	return exit.Done
}
