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

// nodeFiles holds the certificates and the operators' tokens that the settings name. They are
// read again when their files change, until close.
type nodeFiles struct {
	logger  *zap.Logger
	closers []func()
}

// options reads the files and returns the options of a node. The caller must call close, also
// after an error.
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

// platformTLS returns a configuration that trusts only the authorities in the file. Without a
// file it returns nil, with which the system's authorities are trusted. The file is not read
// again when it changes.
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
	tlsSource, err := f.tlsSource(t)
	if err != nil || tlsSource == nil {
		return err
	}
	o.PeersTLS = tlsSource.ServerConfig()
	o.PeersClientTLS = tlsSource.ClientConfig
	return nil
}

func (f *nodeFiles) serverTLS(t settings.TLS) (*tls.Config, error) {
	tlsSource, err := f.tlsSource(t)
	if err != nil || tlsSource == nil {
		return nil, err
	}
	return tlsSource.ServerConfig(), nil
}

// tlsSource returns nil if t chooses connections without TLS.
func (f *nodeFiles) tlsSource(t settings.TLS) (*security.TLSSource, error) {
	if t.Plain {
		return nil, nil
	}
	files := security.TLSFiles{Cert: t.Cert, Key: t.Key, CA: t.CA}
	tlsSource, err := security.NewTLSSource(files, security.Options{Logger: f.logger})
	if err == nil {
		f.closers = append(f.closers, tlsSource.Close)
	}
	return tlsSource, err
}

func (f *nodeFiles) close() {
	for _, c := range f.closers {
		c()
	}
}
