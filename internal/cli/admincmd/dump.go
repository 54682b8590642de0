package admincmd

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
)

// defaultDumpAdmin is the address of the operators' listener in the example settings.
const defaultDumpAdmin = "http://127.0.0.1:7001"

// dumpCommand implements "dump".
type dumpCommand struct {
	output output
	flags  flags
}

// Name implements subcommands.Command.
func (*dumpCommand) Name() string { return "dump" }

// Synopsis implements subcommands.Command.
func (*dumpCommand) Synopsis() string { return "print a VM's whole state as JSON" }

// Usage implements subcommands.Command.
func (*dumpCommand) Usage() string {
	return `dump -admin URL -token-file FILE [-ca-file FILE]:
  Prints the state of one VM's process as JSON. It answers while requests are
  stuck or the platform is out.
`
}

// SetFlags implements subcommands.Command.
func (c *dumpCommand) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.output.err)
	c.flags.registerSession(f, defaultDumpAdmin)
}

// Execute implements subcommands.Command.
func (c *dumpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := exit.CheckNoArgs(f); err != nil {
		fmt.Fprintf(c.output.err, "dump: %v\n", err)
		return exitUsage
	}
	s, err := newSession(&c.flags, c.output)
	if err != nil {
		fmt.Fprintf(c.output.err, "dump: %v\n", err)
		return exitUsage
	}
	return s.show(ctx, "/dump", nil)
}
