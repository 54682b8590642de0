package cli

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"geraniumcroft/internal/cli/exit"
	"geraniumcroft/internal/node"
	"geraniumcroft/internal/settings"
	"geraniumcroft/internal/telemetry"
)

// serveCommand implements "serve".
type serveCommand struct {
	file string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run this VM's router" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `serve -settings FILE:
  Runs the router until SIGTERM or an interrupt, then stops without cutting off a
  request. Exits 2 if there is any finding in the settings.
`
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := exit.CheckNoArgs(f); err != nil {
		return exit.ReportUsageError(err)
	}
	loaded, ok := loadSettings(c.file)
	if !ok {
		return exit.Usage
	}
	log, err := telemetry.NewLog(telemetry.LogOptions{Level: loaded.Log.Level, Format: loaded.Log.Format, Out: os.Stderr})
	if err != nil {
		return exit.ReportFailure(err)
	}
	defer func() { _ = log.Close() }()
	files := &nodeFiles{logger: log.Logger}
	defer files.close()
	n, err := startNode(files, loaded)
	if err != nil {
		return exit.ReportFailure(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	n.Stop(ctx)
	return exit.Done
}

func startNode(files *nodeFiles, s *settings.Settings) (*node.Node, error) {
	options, err := files.options(s)
	if err != nil {
		return nil, err
	}
	n, err := node.New(options)
	if err != nil {
		return nil, err
	}
	return n, n.Start()
}
