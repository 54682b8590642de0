// Package exit reports why a command ended and gives its exit code: 0 for done, 1
// for failed, 2 for bad usage or settings. Scripts rely on the codes, so they are
// chosen in one place.
package exit

import (
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// The exit codes that all commands share.
const (
	Done  = subcommands.ExitSuccess
	Fail  = subcommands.ExitFailure
	Usage = subcommands.ExitUsageError
)

// ReportFailure reports what the command could not do.
func ReportFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "geraniumcroft:", err)
	return Fail
}

// ReportUsageError reports bad usage or settings.
func ReportUsageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "geraniumcroft:", err)
	return Usage
}

// CheckNoArgs returns an error where a command that takes no arguments got some,
// such as a flag behind a word that was meant as one.
func CheckNoArgs(f *flag.FlagSet) error {
	if f.NArg() == 0 {
		return nil
	}
	return fmt.Errorf("unexpected argument %q", f.Arg(0))
}
