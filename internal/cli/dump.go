package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
)

const dumpTimeout = 15 * time.Second

// dumpCommand implements "dump".
type dumpCommand struct {
	admin     string
	tokenFile string
}

// Name implements subcommands.Command.
func (*dumpCommand) Name() string { return "dump" }

// Synopsis implements subcommands.Command.
func (*dumpCommand) Synopsis() string { return "print a VM's whole state as JSON" }

// Usage implements subcommands.Command.
func (*dumpCommand) Usage() string {
	return `dump -admin URL -token-file FILE:
  Prints the state of one VM's process as JSON. It answers while requests are
  stuck or the platform is out.
`
}

// SetFlags implements subcommands.Command.
func (c *dumpCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.admin, "admin", "http://127.0.0.1:7001", "URL of the VM's operators' listener")
	f.StringVar(&c.tokenFile, "token-file", "", "file that holds the operator's token")
}

// Execute implements subcommands.Command.
func (c *dumpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := exit.CheckNoArgs(f); err != nil {
		return exit.Misused(err)
	}
	if c.tokenFile == "" {
		return exit.Misused(errors.New("-token-file FILE is needed"))
	}
	token, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return exit.Failed(err)
	}
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	if err := c.fetch(ctx, strings.TrimSpace(string(token))); err != nil {
		return exit.Failed(err)
	}
	return exit.Done
}

func (c *dumpCommand) fetch(ctx context.Context, token string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.admin+"/admin/v1/dump", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the VM answered %s", response.Status)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
