package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/google/subcommands"

	"geraniumcroft/internal/version"
)

// versionCommand implements "version".
type versionCommand struct{}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string { return "version:\n  Prints the version.\n" }

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("geraniumcroft", version.String(), runtime.Version())
	return subcommands.ExitSuccess
}
