package admincmd

import (
	"context"

	"github.com/google/subcommands"
)

// verb is one action of a command, such as "list".
type verb struct {
	name string
	// args and help are printed in the usage.
	args string
	help string
	// arity is the number of arguments after the verb.
	arity int
	run   func(ctx context.Context, s *session, args []string) subcommands.ExitStatus
}
