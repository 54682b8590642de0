package admincmd

import (
	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
)

// The exit codes of the commands.
const (
	exitDone     = exit.Done
	exitFailed   = exit.Fail
	exitUsage    = exit.Usage
	exitConflict = subcommands.ExitStatus(3)
)
