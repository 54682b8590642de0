package admincmd

import "github.com/google/subcommands"

// The exit codes of the commands.
const (
	exitDone     = subcommands.ExitSuccess
	exitFailed   = subcommands.ExitFailure
	exitUsage    = subcommands.ExitUsageError
	exitConflict = subcommands.ExitStatus(3)
)
