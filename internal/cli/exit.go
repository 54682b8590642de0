package cli

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// failed reports an error and returns exit code 1.
func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "geraniumcroft:", err)
	return subcommands.ExitFailure
}

// usage reports bad usage and returns exit code 2.
func usage(problem string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "geraniumcroft:", problem)
	return subcommands.ExitUsageError
}
