package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"geraniumcroft/internal/cli/exit"
	"geraniumcroft/internal/entry"
	"geraniumcroft/internal/hangup"
	"geraniumcroft/internal/settings"
	"geraniumcroft/internal/telemetry"
	"geraniumcroft/internal/transport"
	"geraniumcroft/platform"
)

// settingsEnv is the name of the environment variable with the path of the settings file.
const settingsEnv = "GERANIUMCROFT_SETTINGS"

// storeIdleTimeout is the time after which an unused connection to the store is closed. The calls
// to the feed come at shorter intervals.
const storeIdleTimeout = 5 * time.Second

// relayCommand implements "relay".
type relayCommand struct {
	file  string
	check bool
}

// Name implements subcommands.Command.
func (*relayCommand) Name() string { return "relay" }

// Synopsis implements subcommands.Command.
func (*relayCommand) Synopsis() string {
	return "run this VM's router for an operator's platform"
}

// Usage implements subcommands.Command.
func (*relayCommand) Usage() string {
	return `relay [-settings FILE] [-check]:
  Relays requests by the configuration and the replicas that lie in the platform's
  store, until SIGTERM or an interrupt; then stops without cutting off a request.
  With -check only reads the settings and prints all findings. Exits 2 if there are
  any. The file's path may stand in GERANIUMCROFT_SETTINGS instead.
`
}

// SetFlags implements subcommands.Command.
func (c *relayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", os.Getenv(settingsEnv), "settings file")
	f.BoolVar(&c.check, "check", false, "only check the settings")
}

// Execute implements subcommands.Command.
func (c *relayCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := exit.CheckNoArgs(f); err != nil {
		return exit.ReportUsageError(err)
	}
	loaded, findings := settings.LoadRelay(c.file)
	for _, finding := range findings {
		_, _ = os.Stderr.WriteString(finding.String() + "\n")
	}
	if len(findings) > 0 {
		return exit.Usage
	}
	if c.check {
		_, _ = os.Stdout.WriteString(c.file + ": no findings\n")
		return exit.Done
	}
	return c.serve(loaded)
}

func (c *relayCommand) serve(s *settings.Settings) subcommands.ExitStatus {
	log, err := telemetry.NewLog(telemetry.LogOptions{Level: s.Log.Level, Format: s.Log.Format, Out: os.Stdout})
	if err != nil {
		return exit.ReportFailure(err)
	}
	defer func() { _ = log.Close() }()
	logger := log.With(zap.String("vm", s.VM.Name))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	process, err := entry.New(relayOptions(s, logger, log.Dropped))
	if err != nil {
		logger.Error("not started", zap.Error(err))
		return exit.ReportFailure(err)
	}
	process.Start()
	for {
		select {
		case <-hangup.Received:
			c.reload(process, logger)
		case <-signals:
			process.Stop()
			return exit.Done
		}
	}
}

// reload reads the settings again and, if there are no findings, applies the seed peers. All other
// settings, such as addresses and names, take effect only at the next start.
func (c *relayCommand) reload(process *entry.Process, logger *zap.Logger) {
	loaded, findings := settings.LoadRelay(c.file)
	for _, finding := range findings {
		logger.Error("settings not reloaded", zap.Stringer("finding", finding))
	}
	if len(findings) == 0 {
		process.Reload(loaded)
	}
}

func relayOptions(s *settings.Settings, logger *zap.Logger, logDropped func() uint64) entry.Options {
	transportSettings := transport.Settings{}.WithDefaults()
	pool := transport.NewPool(transportSettings, transport.NewDialer(transportSettings))
	store := platform.NewStore(s.Relay.StoreAddress, transport.CloseIdleOnError(&http.Transport{
		DialContext: transport.NewDialer(transportSettings), IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: transport.MaxHeadBytes,
	}), logger)
	return entry.Options{
		Settings: s, Pool: pool, Logger: logger, LogDropped: logDropped,
		Adapter: entry.Adapter{
			Codec: platform.Codec{}, NewEngines: func(p *transport.Pool) entry.Engines { return platform.NewEngines(p) }, Table: store, Feed: store, Eras: store.Eras(),
			OperatorTable: platform.OperatorTable, ReplicaTable: platform.ReplicaTable,
			DecodeConfig: platform.DecodeConfig, DecodeReplica: platform.DecodeReplica,
		},
	}
}
