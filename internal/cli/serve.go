package cli

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"geraniumcroft/internal/adminapi"
	"geraniumcroft/internal/node"
	"geraniumcroft/internal/security"
	"geraniumcroft/internal/settings"
	"geraniumcroft/internal/version"
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
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	loaded, ok := loadSettings(c.file)
	if !ok {
		return subcommands.ExitUsageError
	}
	options, closeSecurity, err := nodeOptions(loaded)
	if err != nil {
		return failed(err)
	}
	defer closeSecurity()
	n, err := node.New(options)
	if err != nil {
		return failed(err)
	}
	if err := n.Start(); err != nil {
		return failed(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	n.Stop(ctx)
	return subcommands.ExitSuccess
}

// nodeOptions reads the files that the settings name. The function returned
// stops following their changes.
func nodeOptions(s *settings.Settings) (node.Options, func(), error) {
	options := node.Options{Settings: s, Version: version.String(), LogOut: os.Stderr}
	var closers []func()
	closeAll := func() {
		for _, c := range closers {
			c()
		}
	}
	authenticator, err := security.NewAuthenticator(s.Admin.TokensFile, security.Options{Logger: zap.NewNop()})
	if err != nil {
		return options, closeAll, err
	}
	closers = append(closers, authenticator.Close)
	options.Authenticator = operators{authenticator}
	callers, err := tlsSource(s.Callers.TLS, &closers)
	if err != nil {
		return options, closeAll, err
	}
	admin, err := tlsSource(s.Admin.TLS, &closers)
	if err != nil {
		return options, closeAll, err
	}
	peers, err := tlsSource(s.Peers.TLS, &closers)
	if err != nil {
		return options, closeAll, err
	}
	if callers != nil {
		options.CallersTLS = callers.ServerConfig()
	}
	if admin != nil {
		options.AdminTLS = admin.ServerConfig()
	}
	if peers != nil {
		options.PeersTLS, options.PeersClientTLS = peers.ServerConfig(), peers.ClientConfig
	}
	return options, closeAll, nil
}

func tlsSource(t settings.TLS, closers *[]func()) (*security.TLSSource, error) {
	if t.Plain {
		return nil, nil
	}
	source, err := security.NewTLSSource(security.TLSFiles{Cert: t.Cert, Key: t.Key, CA: t.CA}, security.Options{})
	if err == nil {
		*closers = append(*closers, source.Close)
	}
	return source, err
}

// operators lets the admin API ask package security.
type operators struct {
	*security.Authenticator
}

// Authenticate implements adminapi.Authenticator.
func (o operators) Authenticate(token string) (string, adminapi.Role, bool) {
	author, role, ok := o.Authenticator.Authenticate(token)
	return author, adminapi.Role(role), ok
}
