package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
	"geraniumcroft/internal/settings"
)

// checkCommand implements "check".
type checkCommand struct {
	file string
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check -settings FILE:
  Reads the settings as serve does and prints all findings, each with file, line,
  section and key. Exits 2 if there are any.
`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := exit.CheckNoArgs(f); err != nil {
		return exit.ReportUsageError(err)
	}
	if _, ok := loadSettings(c.file); !ok {
		return exit.Usage
	}
	fmt.Println(c.file + ": no findings")
	return exit.Done
}

// loadSettings reads the settings file and prints all findings to standard error. It reports
// false if there are any, or if file is empty.
func loadSettings(file string) (*settings.Settings, bool) {
	if file == "" {
		fmt.Fprintln(os.Stderr, "geraniumcroft: -settings FILE is needed")
		return nil, false
	}
	loaded, findings := settings.Load(file)
	for _, finding := range findings {
		fmt.Fprintln(os.Stderr, finding)
	}
	return loaded, len(findings) == 0
}
