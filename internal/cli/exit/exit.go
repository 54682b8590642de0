// Package exit prints the error with which a command ends and returns the exit code: 0 for
// done, 1 for failed, 2 for bad usage or settings. Scripts rely on the codes, so they are
// defined in one place.
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

// ReportFailure prints err to standard error and returns Fail.
func ReportFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "geraniumcroft:", err)
	return Fail
}

// ReportUsageError prints err, which is about bad usage or settings, to standard error and
// returns Usage.
func ReportUsageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "geraniumcroft:", err)
	return Usage
}

// CheckNoArgs returns an error if a command that takes no arguments got any. Flags are parsed
// only up to the first argument, so a flag whose dash is missing hides those behind it.
func CheckNoArgs(f *flag.FlagSet) error {
	if f.NArg() == 0 {
		return nil
	}
	return fmt.Errorf("unexpected argument %q", f.Arg(0))
}
