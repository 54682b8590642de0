package admincmd

import (
	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
)

// The exit codes of the commands. A command exits with exitConflict if its change conflicts with
// another one.
const (
	exitDone     = exit.Done
	exitFailed   = exit.Fail
	exitUsage    = exit.Usage
	exitConflict = subcommands.ExitStatus(3)
)
