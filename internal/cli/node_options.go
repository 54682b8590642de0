package cli

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/node"
	"geraniumcroft/internal/security"
	"geraniumcroft/internal/settings"
	"geraniumcroft/internal/version"
)

// nodeFiles are the files that the settings name, followed as they change.
type nodeFiles struct {
	logger  *zap.Logger
	closers []func()
}

// options reads the files and returns what a node is made from. After an error
// what was opened still has to be closed.
func (f *nodeFiles) options(s *settings.Settings) (node.Options, error) {
	o := node.Options{Settings: s, Version: version.String(), LogOut: os.Stderr}
	authenticator, err := security.NewAuthenticator(s.Admin.TokensFile, security.Options{Logger: f.logger})
	if err != nil {
		return o, err
	}
	f.closers = append(f.closers, authenticator.Close)
	o.Authenticator = authenticator
	if o.CallersTLS, err = f.serverTLS(s.Callers.TLS); err != nil {
		return o, err
	}
	if o.AdminTLS, err = f.serverTLS(s.Admin.TLS); err != nil {
		return o, err
	}
	if o.PlatformTLS, err = platformTLS(s.Platform.TLSCA); err != nil {
		return o, err
	}
	return o, f.peersTLS(s.Peers.TLS, &o)
}

// platformTLS trusts the authorities of the file alone; nil trusts the system's.
func platformTLS(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s: no certificate in it", file)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities}, nil
}

func (f *nodeFiles) peersTLS(t settings.TLS, o *node.Options) error {
	source, err := f.source(t)
	if err != nil || source == nil {
		return err
	}
	o.PeersTLS = source.ServerConfig()
	o.PeersClientTLS = source.ClientConfig
	return nil
}

func (f *nodeFiles) serverTLS(t settings.TLS) (*tls.Config, error) {
	source, err := f.source(t)
	if err != nil || source == nil {
		return nil, err
	}
	return source.ServerConfig(), nil
}

// source is nil for plain connections.
func (f *nodeFiles) source(t settings.TLS) (*security.TLSSource, error) {
	if t.Plain {
		return nil, nil
	}
	files := security.TLSFiles{Cert: t.Cert, Key: t.Key, CA: t.CA}
	source, err := security.NewTLSSource(files, security.Options{Logger: f.logger})
	if err == nil {
		f.closers = append(f.closers, source.Close)
	}
	return source, err
}

func (f *nodeFiles) close() {
	for _, c := range f.closers {
		c()
	}
}
