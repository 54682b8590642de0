package security

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// TLSFiles are the paths of the PEM files of one listener or client.
type TLSFiles struct {
	Cert string
	Key  string
	// CA is empty if no certificate of the other side is required.
	CA string
}

func (f TLSFiles) paths() []string {
	paths := []string{f.Cert, f.Key}
	if f.CA != "" {
		paths = append(paths, f.CA)
	}
	return paths
}

func (f TLSFiles) load() (*keyPair, error) {
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s with key %s", f.Cert, f.Key)
	}
	pair := &keyPair{certificate: &certificate}
	if f.CA == "" {
		return pair, nil
	}
	file, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(err, "authorities")
	}
	pair.authorities = x509.NewCertPool()
	if !pair.authorities.AppendCertsFromPEM(file) {
		return nil, errors.Newf("authorities %s: no certificate in it", f.CA)
	}
	return pair, nil
}
