package admincmd

import (
	"io"
	"os"

	"github.com/google/subcommands"

	"geraniumcroft/internal/config"
)

// group is the heading of the commands in the help text.
const group = "administration"

// output holds the writers for a command's output and errors.
type output struct {
	out io.Writer
	err io.Writer
}

// Register adds the commands to c.
func Register(c *subcommands.Commander) {
	register(c, output{out: os.Stdout, err: os.Stderr})
}

func register(c *subcommands.Commander, o output) {
	for _, kind := range []config.EntityKind{
		config.EntityProfile, config.EntityTarget, config.EntityWorkspace, config.EntityModel,
	} {
		c.Register(&command{
			name:     string(kind),
			synopsis: "list, show and change " + string(kind) + "s",
			verbs:    entityVerbs(kind),
			output:   o,
		}, group)
	}
	c.Register(&command{
		name: "change", synopsis: "show the history of changes and where each is in force", verbs: changeVerbs(), output: o,
	}, group)
	c.Register(&dumpCommand{output: o}, group)
	c.Register(&command{
		name: "vm", synopsis: "show the VMs and the leases that they hold", verbs: vmVerbs(), output: o,
	}, group)
}
