package cli

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
	"geraniumcroft/internal/harness/standin"
)

// standinCommand implements "standin".
type standinCommand struct {
	file string
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string {
	return "run stand-ins for the platform, engines and services"
}

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return `standin -file FILE:
  Runs the stand-ins that the INI file names, so that routers can be tried as
  processes of their own, and prints the entities to apply with "model set",
  "target set" and so on. For trials only; nothing of it is kept.
`
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "file", "", "INI file of stand-ins")
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := exit.CheckNoArgs(f); err != nil {
		return exit.ReportUsageError(err)
	}
	if c.file == "" {
		return exit.ReportUsageError(errors.New("-file FILE is needed"))
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	group, err := standin.Load(c.file)
	if err != nil {
		return exit.ReportUsageError(err)
	}
	if err := group.Start(); err != nil {
		return exit.ReportFailure(err)
	}
	defer group.Close()
	if err := group.PrintEntities(os.Stdout); err != nil {
		return exit.ReportFailure(err)
	}
	<-ctx.Done()
	return exit.Done
}
