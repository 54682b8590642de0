package security

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/cockroachdb/errors"
)

// TLSSource gives TLS configurations whose certificates and authorities are those
// of the files at the time of each handshake. It is safe for concurrent use.
type TLSSource struct{ pair *reloading[keyPair] }

// NewTLSSource reads the files and, until Close, reads them again when they change.
func NewTLSSource(files TLSFiles, o Options) (*TLSSource, error) {
	pair, err := newReloading("certificates", files.paths(), o, files.load)
	if err != nil {
		return nil, err
	}
	return &TLSSource{pair: pair}, nil
}

// Close ends the watching; what was read stays in force.
func (s *TLSSource) Close() { s.pair.close() }

// ServerConfig returns the configuration of a listener. With a CA file it demands
// a client certificate.
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

// ClientConfig returns the configuration of connections to the server with the IP
// number or name, which must stand in the server's certificate. It needs a CA file.
func (s *TLSSource) ClientConfig(server string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: server,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.pair.get().certificate, nil
		},
		// RootCAs cannot change once the configuration is in use. The library's own
		// check is off and VerifyConnection does the same against the authorities of
		// now; it runs on every handshake.
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
