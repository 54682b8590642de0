package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
	"geraniumcroft/internal/harness/demo"
)

// demoCommand implements "demo".
type demoCommand struct {
	keep bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "show the system at work in this one process" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo [-keep]:
  Starts two routers and stand-ins for the platform, engines and a plain service
  on loopback addresses, lets a few things fail and says what each caller got.
  Exits 0 only if all of it was right.
`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.keep, "keep", false, "stay up after the script, with curl lines to try, until interrupted")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := exit.CheckNoArgs(f); err != nil {
		return exit.ReportUsageError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := demo.New(ctx, os.Stdout)
	if err != nil {
		return exit.ReportFailure(err)
	}
	defer d.Close()
	if err := d.Run(ctx); err != nil {
		return exit.ReportFailure(err)
	}
	if c.keep {
		fmt.Print(d.Hints())
		<-ctx.Done()
	}
	return exit.Done
}
