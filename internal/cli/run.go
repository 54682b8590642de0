package cli

import (
	"context"
	"errors"
	"flag"
	"os"

	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/admincmd"
	"geraniumcroft/internal/cli/causescmd"
	"geraniumcroft/internal/cli/experimentcmd"
	"geraniumcroft/internal/cli/explaincmd"
	"geraniumcroft/internal/cli/loadcmd"
)

// Run executes the command line args and returns the process's exit code. extra holds further
// commands, which depend on packages outside internal.
func Run(args []string, extra ...subcommands.Command) int {
	flags := flag.NewFlagSet("geraniumcroft", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "geraniumcroft")
	register(commander)
	for _, command := range extra {
		commander.Register(command, "running")
	}
	flags.Usage = func() { commander.Explain(os.Stderr) }
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return int(subcommands.ExitSuccess)
	}
	if err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(context.Background()))
}

func register(c *subcommands.Commander) {
	c.Register(c.HelpCommand(), "help")
	c.Register(c.FlagsCommand(), "help")
	c.Register(&versionCommand{}, "help")
	c.Register(&serveCommand{}, "running")
	c.Register(&checkCommand{}, "running")
	c.Register(&explaincmd.Command{}, "running")
	c.Register(&causescmd.Command{}, "running")
	c.Register(&demoCommand{}, "trying")
	c.Register(&standinCommand{}, "trying")
	admincmd.Register(c)
	experimentcmd.Register(c)
	loadcmd.Register(c)
}
