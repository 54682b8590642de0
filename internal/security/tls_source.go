package security

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/cockroachdb/errors"
)

// TLSSource provides TLS configurations that use, for each handshake, the certificates and
// authorities that are loaded at that time. It is safe for concurrent use.
type TLSSource struct{ pair *reloading[keyPair] }

// NewTLSSource loads the files and reloads them on changes until Close.
func NewTLSSource(files TLSFiles, o Options) (*TLSSource, error) {
	pair, err := newReloading("certificates", files.paths(), o, files.load)
	if err != nil {
		return nil, err
	}
	return &TLSSource{pair: pair}, nil
}

// Close stops watching the files. What was loaded stays in use.
func (s *TLSSource) Close() { s.pair.close() }

// ServerConfig returns the configuration of a listener. If there is a CA file it requires a
// client certificate.
func (s *TLSSource) ServerConfig() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.pair.get().authorities != nil {
		base.ClientAuth = tls.RequireAndVerifyClientCert
	}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair := s.pair.get()
		config := base.Clone()
		config.GetConfigForClient = nil
		config.Certificates = []tls.Certificate{*pair.certificate}
		config.ClientCAs = pair.authorities
		return config, nil
	}
	return base
}

// ClientConfig returns the configuration for connections to a server. The server argument
// is an IP address or a DNS name that the server's certificate must contain. A CA file is
// required.
func (s *TLSSource) ClientConfig(server string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: server,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.pair.get().certificate, nil
		},
		// RootCAs cannot change once the configuration is in use. The built-in check is
		// therefore disabled, and VerifyConnection does the same check on every handshake
		// against the currently loaded authorities.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verifyServer(server, state)
		},
	}
}

func (s *TLSSource) verifyServer(server string, state tls.ConnectionState) error {
	authorities := s.pair.get().authorities
	switch {
	case authorities == nil:
		return errors.New("no authorities are given to check the server's certificate by")
	case server == "":
		return errors.New("no server is named to check the certificate for")
	case len(state.PeerCertificates) == 0:
		return errors.New("the server presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, DNSName: server,
	})
	return errors.Wrap(err, "server's certificate")
}
