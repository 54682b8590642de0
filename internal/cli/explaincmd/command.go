package explaincmd

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
)

// Command implements "explain".
type Command struct{}

// Name implements subcommands.Command.
func (*Command) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "print the story of one request from the logs of VMs" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `explain REQUEST-ID FILE...:
  Reads the logs of any number of VMs and prints what they say about the request, in
  the order of time. Exits 1 if none of them says anything.
`
}

// SetFlags implements subcommands.Command.
func (*Command) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*Command) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		return exit.ReportUsageError(errors.New("a request id and at least one file are needed"))
	}
	var logs []io.Reader
	for _, name := range f.Args()[1:] {
		file, err := os.Open(name)
		if err != nil {
			return exit.ReportFailure(err)
		}
		defer func() { _ = file.Close() }() // opened for reading only
		logs = append(logs, file)
	}
	found, err := explain(os.Stdout, f.Arg(0), logs...)
	if err != nil {
		return exit.ReportFailure(err)
	}
	if !found {
		return exit.ReportFailure(errors.Newf("no line about request %s", f.Arg(0)))
	}
	return exit.Done
}
