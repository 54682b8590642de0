package admincmd

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
)

// command is a subcommands.Command with verbs. Flags may be given before and after the verb and
// its arguments.
type command struct {
	name     string
	synopsis string
	verbs    []verb
	output   output
	flags    flags
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	var text strings.Builder
	for _, v := range c.verbs {
		call := strings.TrimSpace(c.name + " " + v.name + " " + v.args)
		fmt.Fprintf(&text, "%s\n    %s\n", call, v.help)
	}
	text.WriteString("exit codes: 0 done, 1 failed, 2 bad usage, 3 conflict with another change\nflags:\n")
	return text.String()
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.output.err)
	c.flags.register(f)
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	positional, err := positionalArgs(f)
	if err != nil {
		return exitUsage
	}
	chosen, err := c.choose(positional)
	if err != nil {
		fmt.Fprintf(c.output.err, "%s: %v\n%s", c.name, err, c.Usage())
		f.PrintDefaults()
		return exitUsage
	}
	s, err := newSession(&c.flags, c.output)
	if err != nil {
		fmt.Fprintf(c.output.err, "%s: %v\n", c.name, err)
		return exitUsage
	}
	return chosen.run(ctx, s, positional[1:])
}

func (c *command) choose(positional []string) (verb, error) {
	if len(positional) == 0 {
		return verb{}, fmt.Errorf("a verb is missing")
	}
	for _, v := range c.verbs {
		if v.name != positional[0] {
			continue
		}
		if len(positional)-1 != v.arity {
			return verb{}, fmt.Errorf("%s takes %d arguments, not %d", v.name, v.arity, len(positional)-1)
		}
		return v, nil
	}
	return verb{}, fmt.Errorf("unknown verb %q", positional[0])
}

// positionalArgs returns the arguments that are not flags. Since package flag stops at the first
// of them, it parses the flags after each.
func positionalArgs(f *flag.FlagSet) ([]string, error) {
	var positional []string
	for rest := f.Args(); len(rest) > 0; rest = f.Args() {
		positional = append(positional, rest[0])
		if err := f.Parse(rest[1:]); err != nil {
			return nil, err
		}
	}
	return positional, nil
}
