package security

import (
	"crypto/tls"
	"crypto/x509"
)

// keyPair is what the files hold at one moment.
type keyPair struct {
	certificate *tls.Certificate
	// authorities is nil without a CA file.
	authorities *x509.CertPool
}
